#include <jujubequay/control/bundle.h>
#include <jujubequay/core/identifiers.h>

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <set>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::size_t maxServiceName = 63;
constexpr int maxAddresses = 1024;
constexpr int maxServerNames = 1024;
constexpr std::uint32_t maxSlots = 65535;
constexpr std::uint32_t maxCustomerWeight = 1000;

// Makes a signature of a bundle invalid for any other purpose of the same key.
constexpr std::string_view signatureContext = "jujubequay-bundle-1:";

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
}

const std::uint8_t *bytesOf(std::string_view text)
{
    return reinterpret_cast<const std::uint8_t *>(text.data());
}

Result<void> checkAddresses(const pb::BundleContent &content)
{
    if (content.addresses_size() == 0 || content.addresses_size() > maxAddresses) {
        return fail(ResultCode::BadBundle, fmt::format("addresses: 1 to {} are needed, got {}", maxAddresses, content.addresses_size()));
    }
    std::set<std::string> seen;
    for (const std::string &text : content.addresses()) {
        const auto address = parseHostAddress(text);
        if (!address || address->port == 0) {
            return fail(ResultCode::BadBundle, fmt::format("addresses: \"{}\" is not an IPv4 address and port", text));
        }
        if (!seen.insert(toString(*address)).second) {
            return fail(ResultCode::BadBundle, fmt::format("addresses: \"{}\" is named twice", text));
        }
    }
    return {};
}

Result<void> checkAdmission(const pb::AdmissionRules &rules)
{
    if (rules.slots() == 0 || rules.slots() > maxSlots) {
        return fail(ResultCode::BadBundle, fmt::format("admission.slots: 1 to {} is needed, got {}", maxSlots, rules.slots()));
    }
    if (rules.max_connections() == 0) {
        return fail(ResultCode::BadBundle, "admission.max_connections: at least 1 is needed");
    }
    for (const auto &[customer, weight] : rules.customer_weights()) {
        if (weight == 0 || weight > maxCustomerWeight) {
            return fail(ResultCode::BadBundle, fmt::format("admission.customer_weights: {} has {}, 1 to {} is needed", customer, weight, maxCustomerWeight));
        }
    }
    return {};
}

Result<void> checkServerNames(const pb::BundleContent &content)
{
    if (content.server_names_size() == 0 || content.server_names_size() > maxServerNames) {
        return fail(ResultCode::BadBundle, fmt::format("server_names: 1 to {} are needed, got {}", maxServerNames, content.server_names_size()));
    }
    for (const std::string &name : content.server_names()) {
        if (name.empty() || name.find('*') < name.size() - 1) {
            return fail(ResultCode::BadBundle, fmt::format("server_names: \"{}\" is not a name or a prefix with \"*\"", name));
        }
    }
    return {};
}

}

bool isServiceName(std::string_view name)
{
    if (name.empty() || name.size() > maxServiceName || name.front() < 'a' || name.front() > 'z') {
        return false;
    }
    return std::all_of(name.begin(), name.end(), isNameCharacter);
}

Result<pb::BundleContent> parseBundle(std::string_view bytes)
{
    if (bytes.size() > maxBundleLength) {
        return fail(ResultCode::BadBundle, fmt::format("the bundle has {} bytes, at most {} are allowed", bytes.size(), maxBundleLength));
    }
    pb::BundleContent content;
    if (!content.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(ResultCode::BadBundle, "the bundle does not parse");
    }
    if (!isServiceName(content.service())) {
        return fail(ResultCode::BadBundle, fmt::format("service: \"{}\" is not a service name", content.service()));
    }
    if (content.version() == 0) {
        return fail(ResultCode::BadBundle, "version: at least 1 is needed");
    }
    BOOST_LEAF_CHECK(checkAddresses(content));
    BOOST_LEAF_CHECK(checkAdmission(content.admission()));
    BOOST_LEAF_CHECK(checkServerNames(content));
    return content;
}

std::string bundleDigest(std::string_view content)
{
    const DigestBytes digest = digestOf(std::span(bytesOf(content), content.size()));
    return {digest.begin(), digest.end()};
}

std::string bundleSignedText(std::string_view digest)
{
    return std::string(signatureContext) + std::string(digest);
}

bool isBundleSignature(std::string_view publicKey, std::string_view digest, std::string_view signature)
{
    if (publicKey.size() != crypto_sign_PUBLICKEYBYTES || signature.size() != crypto_sign_BYTES) {
        return false;
    }
    const std::string text = bundleSignedText(digest);
    return crypto_sign_verify_detached(bytesOf(signature), bytesOf(text), text.size(), bytesOf(publicKey)) == 0;
}

}

#include "command_context.h"

#include <jujubequay/control/bundle.h>
#include <jujubequay/daemon/signer_key.h>

#include <fmt/ranges.h>

#include <charconv>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

Result<void> addCustomerWeight(pb::AdmissionRules &rules, const std::string &text)
{
    const std::size_t equals = text.rfind('=');
    std::uint32_t weight = 0;
    const char *end = text.data() + text.size();
    const char *start = equals == std::string::npos ? end : text.data() + equals + 1;
    const auto parsed = std::from_chars(start, end, weight);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return fail(ResultCode::BadCommandLine, fmt::format("--customer-weight: \"{}\" is not CUSTOMER=NUMBER", text));
    }
    (*rules.mutable_customer_weights())[text.substr(0, equals)] = weight;
    return {};
}

void printBundle(OutputFormat format, const pb::BundleContent &content, const std::string &digest)
{
    const pb::AdmissionRules &rules = content.admission();
    if (format == OutputFormat::Json) {
        toml::array addresses;
        for (const std::string &address : content.addresses()) {
            addresses.push_back(address);
        }
        printJson(toml::table{
            {"service", content.service()},
            {"version", toJsonInteger(content.version())},
            {"digest", toHex(digest)},
            {"addresses", addresses},
            {"slots", toJsonInteger(rules.slots())},
            {"max_connections", toJsonInteger(rules.max_connections())},
            {"queue_limit", toJsonInteger(rules.queue_limit())},
            {"queue_timeout_ms", toJsonInteger(rules.queue_timeout_ms())},
            {"drain_limit_ms", toJsonInteger(rules.drain_limit_ms())},
            {"description", content.description()},
        });
        return;
    }
    fmt::print("service {} version {}\ndigest {}\naddresses {}\nserver names {}\n",
               content.service(),
               content.version(),
               toHex(digest),
               fmt::join(content.addresses(), ", "),
               fmt::join(content.server_names(), ", "));
    fmt::print("slots {}, connections {}, queue {} for {} ms, drain {} ms\n",
               rules.slots(),
               rules.max_connections(),
               rules.queue_limit(),
               rules.queue_timeout_ms(),
               rules.drain_limit_ms());
}

}

Result<void> createBundle(const Arguments &arguments)
{
    OfflineCommand command(
        {"jjq bundle create",
         "Writes a bundle file. Nothing is sent.",
         {{"jjq bundle create --service inspect-desk --bundle-version 2 --address 127.0.0.1:4433 --server-name 'inspect-desk-*' --out desk-2.bundle",
           "Writes version 2 of inspect-desk."}}});
    auto &parser = command.parser();
    TCLAP::ValueArg<std::string> service("", "service", "service name", true, "", "NAME", parser);
    TCLAP::ValueArg<std::uint64_t> version("", "bundle-version", "version, higher than the one in force", true, 0, "NUMBER", parser);
    TCLAP::MultiArg<std::string> addresses("", "address", "address for callers", true, "IP:PORT", parser);
    TCLAP::MultiArg<std::string> serverNames(
        "", "server-name", "name of backend servers that may be announced; a trailing * matches any rest", true, "NAME", parser);
    TCLAP::ValueArg<std::uint32_t> slots("", "slots", "concurrent requests of a backend server", false, 3, "NUMBER", parser);
    TCLAP::ValueArg<std::uint32_t> connections("", "max-connections", "connections of a backend server", false, 2000, "NUMBER", parser);
    TCLAP::ValueArg<std::uint32_t> queue("", "queue-limit", "requests that can wait for a slot", false, 64, "NUMBER", parser);
    TCLAP::ValueArg<std::uint32_t> queueTimeout("", "queue-timeout-ms", "longest wait for a slot", false, 2000, "MS", parser);
    TCLAP::ValueArg<std::uint32_t> drain("", "drain-limit-ms", "longest time of a drain", false, 600'000, "MS", parser);
    TCLAP::MultiArg<std::string> weights("", "customer-weight", "weight of a customer; customers without one have 1", false, "CUSTOMER=NUMBER", parser);
    TCLAP::ValueArg<std::string> text("", "description", "free text for operators", false, "", "TEXT", parser);
    TCLAP::ValueArg<std::string> out("", "out", "new bundle file", true, "", "FILE", parser);
    BOOST_LEAF_CHECK(command.parse(arguments));

    pb::BundleContent content;
    content.set_service(service.getValue());
    content.set_version(version.getValue());
    content.mutable_addresses()->Add(addresses.getValue().begin(), addresses.getValue().end());
    content.mutable_server_names()->Add(serverNames.getValue().begin(), serverNames.getValue().end());
    content.set_description(text.getValue());
    pb::AdmissionRules &rules = *content.mutable_admission();
    rules.set_slots(slots.getValue());
    rules.set_max_connections(connections.getValue());
    rules.set_queue_limit(queue.getValue());
    rules.set_queue_timeout_ms(queueTimeout.getValue());
    rules.set_drain_limit_ms(drain.getValue());
    for (const std::string &weight : weights.getValue()) {
        BOOST_LEAF_CHECK(addCustomerWeight(rules, weight));
    }
    const std::string bytes = content.SerializeAsString();
    BOOST_LEAF_CHECK(parseBundle(bytes));
    BOOST_LEAF_CHECK(writeNewFile(out.getValue(), bytes));
    printBundle(command.format(), content, bundleDigest(bytes));
    return {};
}

Result<void> showBundle(const Arguments &arguments)
{
    OfflineCommand command({"jjq bundle show", "Shows a bundle file.", {{"jjq bundle show desk-2.bundle", "Shows content and digest."}}});
    TCLAP::UnlabeledValueArg<std::string> file("file", "bundle file", true, "", "FILE", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    BOOST_LEAF_AUTO(bytes, readFile(file.getValue()));
    BOOST_LEAF_AUTO(content, parseBundle(bytes));
    printBundle(command.format(), content, bundleDigest(bytes));
    return {};
}

Result<void> signBundleFile(const Arguments &arguments)
{
    OfflineCommand command(
        {"jjq sign",
         "Signs a bundle file. Works offline; the key file has mode 0600.",
         {{"jjq sign --bundle desk-2.bundle --key amina.signer --signer amina --out desk-2.sig", "Writes the signature, to be sent with \"jjq submit\"."}}});
    auto &parser = command.parser();
    TCLAP::ValueArg<std::string> bundle("", "bundle", "bundle file", true, "", "FILE", parser);
    TCLAP::ValueArg<std::string> key("", "key", "signer key file", true, "", "FILE", parser);
    TCLAP::ValueArg<std::string> signer("", "signer", "name of the signer", true, "", "NAME", parser);
    TCLAP::ValueArg<std::string> out("", "out", "new signature file", true, "", "FILE", parser);
    BOOST_LEAF_CHECK(command.parse(arguments));

    BOOST_LEAF_AUTO(bytes, readFile(bundle.getValue()));
    BOOST_LEAF_AUTO(content, parseBundle(bytes));
    BOOST_LEAF_AUTO(signerKey, SignerKey::load(key.getValue()));
    pb::SignBundle sign;
    sign.set_service(content.service());
    sign.set_version(content.version());
    sign.set_digest(bundleDigest(bytes));
    const std::string text = bundleSignedText(sign.digest());
    const SignerSignature signature = signerKey.sign(std::span(reinterpret_cast<const std::uint8_t *>(text.data()), text.size()));
    sign.mutable_signature()->set_signer(signer.getValue());
    sign.mutable_signature()->set_signature({signature.begin(), signature.end()});
    BOOST_LEAF_CHECK(writeNewFile(out.getValue(), sign.SerializeAsString()));
    printBundle(command.format(), content, sign.digest());
    return {};
}

Result<void> proposeBundle(const Arguments &arguments)
{
    OnlineCommand command({"jjq propose",
                           "Proposes a bundle. Its version belongs to the first proposal.",
                           {{"jjq propose --settings jjq.toml --bundle desk-2.bundle", "Proposes version 2 of inspect-desk."}}});
    TCLAP::ValueArg<std::string> bundle("", "bundle", "bundle file", true, "", "FILE", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    BOOST_LEAF_AUTO(bytes, readFile(bundle.getValue()));
    BOOST_LEAF_CHECK(parseBundle(bytes));
    pb::Command message;
    message.mutable_propose()->set_content(bytes);
    return command.execute(std::move(message));
}

Result<void> submitSignature(const Arguments &arguments)
{
    OnlineCommand command({"jjq submit",
                           "Adds a signature to a proposed bundle.",
                           {{"jjq submit --settings jjq.toml --signature desk-2.sig", "Sends the signature that \"jjq sign\" wrote."}}});
    TCLAP::ValueArg<std::string> file("", "signature", "signature file", true, "", "FILE", command.parser());
    BOOST_LEAF_CHECK(command.parse(arguments));
    BOOST_LEAF_AUTO(bytes, readFile(file.getValue()));
    pb::Command message;
    if (!message.mutable_sign()->ParseFromString(bytes)) {
        return fail(ResultCode::BadCommandLine, fmt::format("{}: is not a signature file", file.getValue()));
    }
    return command.execute(std::move(message));
}

}

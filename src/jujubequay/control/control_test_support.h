#pragma once

#include <jujubequay/control/bundle.h>
#include <jujubequay/control/control_state.h>

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <string>

namespace Jujubequay {

/// Builds the commands of one operator, each with a new operation identity.
class CommandBuilder
{
public:
    explicit CommandBuilder(std::string operatorName)
        : m_operatorName(std::move(operatorName))
    {
        std::array<std::uint8_t, crypto_sign_SEEDBYTES> seed{};
        std::copy_n(m_operatorName.begin(), std::min(m_operatorName.size(), seed.size()), seed.begin());
        crypto_sign_seed_keypair(m_publicKey.data(), m_secretKey.data(), seed.data());
    }

    /// Sets `operations_seen` of the next commands.
    void setOperationsSeen(std::uint64_t operations)
    {
        m_operationsSeen = operations;
    }

    static std::string content(const std::string &service, std::uint64_t version, const std::string &address)
    {
        jujubequay::pb::BundleContent content;
        content.set_service(service);
        content.set_version(version);
        content.add_addresses(address);
        content.mutable_admission()->set_slots(3);
        content.mutable_admission()->set_max_connections(2000);
        content.add_server_names(service + "-*");
        return content.SerializeAsString();
    }

    Bytes propose(const std::string &content)
    {
        jujubequay::pb::Command command;
        command.mutable_propose()->set_content(content);
        return logged(command);
    }

    Bytes sign(const std::string &service, std::uint64_t version, const std::string &content)
    {
        jujubequay::pb::Command command;
        auto &sign = *command.mutable_sign();
        sign.set_service(service);
        sign.set_version(version);
        sign.mutable_signature()->set_signer(m_operatorName);
        sign.mutable_signature()->set_signature(signatureOf(content));
        return logged(command);
    }

    Bytes roll(const std::string &service, std::uint64_t version, bool rollBack = false, std::uint64_t expected = 0)
    {
        jujubequay::pb::Command command;
        auto &roll = *command.mutable_roll();
        roll.set_service(service);
        roll.set_version(version);
        roll.set_roll_back(rollBack);
        roll.set_expected_version(expected);
        return logged(command);
    }

    Bytes setSigner(const std::string &service)
    {
        jujubequay::pb::Command command;
        auto &signer = *command.mutable_set_signer();
        signer.set_service(service);
        signer.set_signer(m_operatorName);
        signer.set_public_key({m_publicKey.begin(), m_publicKey.end()});
        return logged(command);
    }

    Bytes removeSigner(const std::string &service)
    {
        jujubequay::pb::Command command;
        command.mutable_set_signer()->set_service(service);
        command.mutable_set_signer()->set_signer(m_operatorName);
        return logged(command);
    }

    Bytes addFlowKey(std::uint32_t number, bool activate)
    {
        jujubequay::pb::Command command;
        command.mutable_add_flow_key()->set_number(number);
        command.mutable_add_flow_key()->set_secret(std::string(16, static_cast<char>('a' + number)));
        command.mutable_add_flow_key()->set_activate(activate);
        return logged(command);
    }

    Bytes activateFlowKey(std::uint32_t number, const std::vector<std::string> &lagging)
    {
        jujubequay::pb::Command command;
        command.mutable_activate_flow_key()->set_number(number);
        return logged(command, {}, lagging);
    }

    Bytes retireFlowKey(std::uint32_t number, const std::vector<std::uint32_t> &inUse)
    {
        jujubequay::pb::Command command;
        command.mutable_retire_flow_key()->set_number(number);
        return logged(command, inUse, {});
    }

private:
    std::string signatureOf(const std::string &content) const
    {
        const std::string text = bundleSignedText(bundleDigest(content));
        std::string signature(crypto_sign_BYTES, '\0');
        auto *out = reinterpret_cast<std::uint8_t *>(signature.data());
        crypto_sign_detached(out, nullptr, reinterpret_cast<const std::uint8_t *>(text.data()), text.size(), m_secretKey.data());
        return signature;
    }

    Bytes logged(jujubequay::pb::Command &command, const std::vector<std::uint32_t> &inUse = {}, const std::vector<std::string> &lagging = {})
    {
        command.set_operation_id(fmt::format("{}-{}", m_operatorName, ++m_operationCount));
        command.set_operations_seen(m_operationsSeen);
        jujubequay::pb::LoggedCommand logged;
        logged.set_command(command.SerializeAsString());
        logged.set_operator_name(m_operatorName);
        logged.mutable_flow_keys_in_use()->Add(inUse.begin(), inUse.end());
        logged.mutable_flow_keys_lagging()->Add(lagging.begin(), lagging.end());
        Bytes bytes(logged.ByteSizeLong());
        logged.SerializeWithCachedSizesToArray(bytes.data());
        return bytes;
    }

    std::string m_operatorName;
    std::array<std::uint8_t, crypto_sign_PUBLICKEYBYTES> m_publicKey{};
    std::array<std::uint8_t, crypto_sign_SECRETKEYBYTES> m_secretKey{};
    std::uint64_t m_operationCount = 0;
    std::uint64_t m_operationsSeen = 0;
};

inline ResultCode resultOf(const jujubequay::pb::CommandAnswer &answer)
{
    return static_cast<ResultCode>(answer.result());
}

}

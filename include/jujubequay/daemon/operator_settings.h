#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// Settings of jjq.
struct OperatorSettings {
    std::string operatorName; ///< common name in the certificate of the operator
    LogLevel logLevel = LogLevel::Info;
    TlsFiles tls;
    std::vector<ControlHost> controlHosts;
    std::optional<std::filesystem::path> signerKey; ///< Ed25519 key that signs bundles
    std::chrono::milliseconds operationTimeout{}; ///< time limit of one operation, including retries
};

OperatorSettings readOperatorSettings(SettingsReader &reader);

}

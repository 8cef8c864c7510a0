#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// Settings of jjq.
struct OperatorSettings {
    std::string operatorName;
    LogLevel logLevel = LogLevel::Info;
    TlsFiles tls;
    std::vector<ControlHost> controlHosts;
    std::optional<std::filesystem::path> signerKey;
    std::chrono::milliseconds operationTimeout{};
};

OperatorSettings readOperatorSettings(SettingsReader &reader);

}

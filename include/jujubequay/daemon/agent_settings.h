#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// Settings of jjq-agent.
struct AgentSettings {
    CommonSettings common;
    std::string serverName;
    std::string service;
    std::uint32_t weight = 0;
    HostAddress relayAddress;
    HostAddress backendAddress;
    std::filesystem::path quicCertificate;
    std::filesystem::path quicKey;
    std::chrono::milliseconds renewInterval{};
    std::chrono::milliseconds healthInterval{};
    std::size_t requestTableBytes = 0;
    std::uint32_t metricsCustomers = 0;
};

AgentSettings readAgentSettings(SettingsReader &reader);

}

#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// Settings of jjq-agent.
struct AgentSettings {
    CommonSettings common;
    std::string serverName; ///< name under which the backend server is announced
    std::string service;
    std::uint32_t weight = 0; ///< share of new flows, relative to other backend servers
    HostAddress relayAddress; ///< address to which balancers relay datagrams (UDP)
    HostAddress backendAddress; ///< address of the backend server (HTTP/2 without TLS)
    std::filesystem::path quicCertificate;
    std::filesystem::path quicKey;
    std::chrono::milliseconds renewInterval{}; ///< interval between renewals of the lease
    std::chrono::milliseconds healthInterval{}; ///< interval between queries of health and load
    std::size_t requestTableBytes = 0; ///< memory for stored results of requests
    std::uint32_t metricsCustomers = 0; ///< customers with metrics of their own
};

AgentSettings readAgentSettings(SettingsReader &reader);

}

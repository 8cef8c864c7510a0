#pragma once

#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/log.h>
#include <jujubequay/daemon/settings_reader.h>
#include <jujubequay/net/keep_alive.h>
#include <jujubequay/net/tls_context.h>

#include <optional>
#include <string>
#include <vector>

namespace Jujubequay {

/// A control host as the other processes know it.
struct ControlHost {
    std::string name; ///< common name of its certificate
    HostAddress address;
};

/// Where a process runs.
struct Placement {
    std::string hostName;
    std::string availabilityZone;
    std::string region;
};

/// Settings that control hosts, balancers and agents have in common.
struct CommonSettings {
    Placement placement;
    LogLevel logLevel = LogLevel::Info;
    std::optional<TlsFiles> tls; ///< empty in a network without keys
    std::vector<ControlHost> controlHosts; ///< empty if seeds are known instead
    std::optional<HostAddress> metricsAddress; ///< plain HTTP
    KeepAliveOptions keepAlive;
    std::chrono::milliseconds connectTimeout{};
};

Placement readPlacement(SettingsReader &reader);
LogLevel readLogLevel(SettingsReader &reader);
TlsFiles readTlsFiles(SettingsReader &reader);
/// At least one; names and addresses are used once.
std::vector<ControlHost> readControlHosts(SettingsReader &reader);
std::optional<HostAddress> readMetricsAddress(SettingsReader &reader);
CommonSettings readCommonSettings(SettingsReader &reader);

}

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

/// Name and address of a control host.
struct ControlHost {
    std::string name; ///< common name in the certificate of the control host
    HostAddress address;
};

/// Location of a process.
struct ProcessLocation {
    std::string hostName;
    std::string availabilityZone;
    std::string region;
};

/// Settings that control hosts, balancers and agents have in common.
struct CommonSettings {
    ProcessLocation location;
    LogLevel logLevel = LogLevel::Info;
    std::optional<TlsFiles> tls; ///< empty in a network without keys; control connections then use no TLS
    std::vector<ControlHost> controlHosts; ///< empty if the process discovers the control hosts from seeds
    std::optional<HostAddress> metricsAddress; ///< address that serves metrics over HTTP without TLS
    KeepAliveOptions keepAlive;
    std::chrono::milliseconds connectTimeout{}; ///< time limit of a control connection attempt
};

ProcessLocation readProcessLocation(SettingsReader &reader);
LogLevel readLogLevel(SettingsReader &reader);
TlsFiles readTlsFiles(SettingsReader &reader);
/// Rejects an empty list, and names or addresses that occur twice.
std::vector<ControlHost> readControlHosts(SettingsReader &reader);
std::optional<HostAddress> readMetricsAddress(SettingsReader &reader);
CommonSettings readCommonSettings(SettingsReader &reader);

}

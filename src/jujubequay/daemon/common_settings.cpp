#include <jujubequay/daemon/common_settings.h>

#include <set>

namespace Jujubequay {

namespace {

using namespace std::chrono_literals;

constexpr NameTable<LogLevel, 4> logLevels{{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}}};

constexpr std::uint32_t loopbackNetwork = 127;

bool isLoopback(const HostAddress &address)
{
    return address.ip >> 24U == loopbackNetwork;
}

}

ProcessLocation readProcessLocation(SettingsReader &reader)
{
    ProcessLocation location;
    location.hostName = reader.text("host_name", "name of this host; the common name of its certificate");
    location.availabilityZone = reader.text("availability_zone", "availability zone of this host");
    location.region = reader.text("region", "region of the availability zone");
    return location;
}

LogLevel readLogLevel(SettingsReader &reader)
{
    return reader.choice("log_level", logLevels, LogLevel::Info, "least severe events that are logged");
}

TlsFiles readTlsFiles(SettingsReader &reader)
{
    auto section = reader.section("tls");
    TlsFiles files;
    files.authority = section.path("authority_file", "certificate of the authority that issued all certificates (PEM)");
    files.certificate = section.path("certificate_file", "certificate of this process (PEM)");
    files.key = section.path("key_file", "private key of the certificate (PEM, mode 0600)");
    return files;
}

std::vector<ControlHost> readControlHosts(SettingsReader &reader)
{
    std::vector<ControlHost> hosts;
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (SettingsReader &section : reader.sections("control_host")) {
        ControlHost host;
        host.name = section.text("name", "name of a control host; the common name of its certificate");
        host.address = section.address("address", "address of its control streams (TCP)");
        if (!names.insert(host.name).second) {
            section.reject("name", "a name that no other control host has");
        }
        if (!addresses.insert(toString(host.address)).second) {
            section.reject("address", "an address that no other control host has");
        }
        hosts.push_back(std::move(host));
    }
    if (hosts.empty()) {
        reader.reject("control_host", "at least one section [[control_host]]");
    }
    return hosts;
}

std::optional<HostAddress> readMetricsAddress(SettingsReader &reader)
{
    const auto address = reader.optionalAddress("metrics_address", "loopback address that answers HTTP GET /metrics");
    if (address && !isLoopback(*address)) {
        reader.reject("metrics_address", "an address in 127.0.0.0/8, because the endpoint has no access control");
    }
    return address;
}

CommonSettings readCommonSettings(SettingsReader &reader)
{
    CommonSettings settings;
    settings.location = readProcessLocation(reader);
    settings.logLevel = readLogLevel(reader);
    settings.tls = readTlsFiles(reader);
    settings.controlHosts = readControlHosts(reader);
    settings.metricsAddress = readMetricsAddress(reader);
    settings.keepAlive.interval
        = reader.duration("ping_interval_ms", 10s, {100ms, 10min}, "time without data on a control connection after which the peer is probed");
    settings.keepAlive.timeout = reader.duration("ping_timeout_ms", 5s, {100ms, 10min}, "time without data after a probe until the connection is closed");
    settings.connectTimeout
        = reader.duration("connect_timeout_ms", 5s, {100ms, 1min}, "time limit of a control connection attempt, including the TLS handshake");
    return settings;
}

}

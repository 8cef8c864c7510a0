#include <jujubequay/daemon/agent_settings.h>

namespace Jujubequay {

using namespace std::chrono_literals;

AgentSettings readAgentSettings(SettingsReader &reader)
{
    AgentSettings settings;
    settings.common = readCommonSettings(reader);
    settings.serverName = reader.text("server_name", "name under which the backend server is announced");
    settings.service = reader.text("service", "service of the backend server");
    settings.weight = static_cast<std::uint32_t>(reader.integer("weight", 100, {1, 10'000}, "share of new flows, relative to other backend servers"));
    settings.relayAddress = reader.address("relay_address", "address that balancers relay datagrams to (UDP)");
    settings.backendAddress = reader.address("backend_address", "address of the backend server (HTTP/2 without TLS)");
    auto quic = reader.section("quic");
    settings.quicCertificate = quic.path("certificate_file", "certificate that is presented to callers (PEM)");
    settings.quicKey = quic.path("key_file", "private key of the certificate (PEM, mode 0600)");
    settings.renewInterval = reader.duration("renew_interval_ms", 2s, {50ms, 5min}, "interval between renewals of the lease");
    settings.healthInterval = reader.duration("health_interval_ms", 1s, {50ms, 5min}, "interval between queries of health and load");
    settings.requestTableBytes = reader.size("request_table_kib", 64U << 20U, {1U << 20U, 1U << 30U}, "memory for stored results of requests");
    settings.metricsCustomers = static_cast<std::uint32_t>(
        reader.integer("metrics_customers", 200, {1, 10'000}, "customers with metrics of their own; further customers are counted together"));
    return settings;
}

}

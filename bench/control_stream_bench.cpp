#include "jujubequay/net/endpoint.h"

#include <jujubequay/daemon/command_line.h>
#include <jujubequay/net/certificate.h>
#include <jujubequay/net/http2_message_client.h>
#include <jujubequay/net/message_server.h>

#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <metrics.pb.h>

#include <fstream>
#include <set>

#include <sys/resource.h>
#include <unistd.h>

using namespace Jujubequay;

namespace {

struct BenchOptions {
    HostAddress address;
    std::filesystem::path keys;
    std::size_t streams = 1;
    std::chrono::seconds idle{0};
    std::chrono::milliseconds pingInterval{};
    bool sharesConnection = false;
};

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Resident memory of this process, in bytes.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Prints the wall time, processor time and memory that the process has used since the previous line.
class Meter
{
public:
    void print(std::string_view phase, std::size_t streams)
    {
        const auto now = std::chrono::steady_clock::now();
        const double wall = std::chrono::duration<double>(now - m_previousTime).count();
        const double processor = processorSeconds();
        const std::size_t memory = residentBytes();
        fmt::print("phase={} streams={} wall_s={:.3f} processor_s={:.4f} resident_kib={} resident_change_per_stream_bytes={}\n",
                   phase,
                   streams,
                   wall,
                   processor - m_previousProcessorSeconds,
                   memory / 1024,
                   streams == 0 ? 0
                                : (static_cast<std::int64_t>(memory) - static_cast<std::int64_t>(m_previousMemoryBytes)) / static_cast<std::int64_t>(streams));
        std::fflush(stdout);
        m_previousTime = std::chrono::steady_clock::now();
        m_previousProcessorSeconds = processorSeconds();
        m_previousMemoryBytes = memory;
    }

private:
    std::chrono::steady_clock::time_point m_previousTime = std::chrono::steady_clock::now();
    double m_previousProcessorSeconds = processorSeconds();
    std::size_t m_previousMemoryBytes = residentBytes();
};

Result<std::shared_ptr<TlsContext>> loadIdentity(const BenchOptions &options, const std::string &name, const std::string &role)
{
    if (!std::filesystem::exists(authorityFiles(options.keys).key)) {
        BOOST_LEAF_CHECK(createCertificateAuthority(options.keys, "bench"));
    }
    if (!std::filesystem::exists(options.keys / (name + ".key"))) {
        BOOST_LEAF_CHECK(issueCertificate(authorityFiles(options.keys), {name, role}, options.keys));
    }
    return TlsContext::load({authorityFiles(options.keys).certificate, options.keys / (name + ".crt"), options.keys / (name + ".key")});
}

/// Answers each message. Prints the costs of the server when the client has opened all streams, and again after the idle time.
Result<void> runServer(const BenchOptions &options)
{
    const SteadyClock clock;
    Logger logger(clock, {"control-stream-bench", "server", "none"}, {});
    asio::io_context context;
    BOOST_LEAF_AUTO(tls, loadIdentity(options, "server", "control"));
    std::size_t openStreams = 0;
    std::size_t maxOpenStreams = 0;
    Meter meter;
    asio::steady_timer timer(context);
    const auto accept = [&](const std::string &, const std::shared_ptr<MessageStream> &stream) {
        ++openStreams;
        maxOpenStreams = std::max(maxOpenStreams, openStreams);
        if (openStreams == options.streams) {
            meter.print("open", openStreams);
            timer.expires_after(options.idle);
            timer.async_wait([&](const asio::error_code &) {
                meter.print("idle", openStreams);
            });
        }
        MessageStreamHandlers handlers;
        handlers.message = [weak = std::weak_ptr(stream)](const Bytes &) {
            jujubequay::pb::MetricsPart answer;
            answer.set_text("ready");
            weak.lock()->send(answer);
        };
        handlers.closed = [&](ResultCode) {
            --openStreams;
            if (openStreams == 0 && maxOpenStreams == options.streams) {
                context.stop();
            }
        };
        return handlers;
    };
    MessageServerOptions serverOptions;
    serverOptions.http2.keepAlive.interval = options.pingInterval;
    serverOptions.http2.maxStreams = 8192;
    BOOST_LEAF_AUTO(server, MessageServer::listen(context, clock, logger, tls, options.address, accept, serverOptions));
    context.run();
    return {};
}

/// Opens the streams, with at most 64 of them waiting for their first answer, and then stays idle. Prints the costs of the client
/// after each of the two phases.
Result<void> runClient(const BenchOptions &options)
{
    constexpr std::size_t maxUnansweredStreams = 64;
    const SteadyClock clock;
    Logger logger(clock, {"control-stream-bench", "client", "none"}, {});
    asio::io_context context;
    BOOST_LEAF_AUTO(tls, loadIdentity(options, "client", "agent"));
    MessageClientOptions clientOptions;
    clientOptions.sharesConnections = options.sharesConnection;
    clientOptions.connectTimeout = std::chrono::minutes(1);
    clientOptions.http2.keepAlive.interval = options.pingInterval;
    const auto client = Http2MessageClient::create(context, clock, logger, tls, clientOptions);
    std::size_t startedStreams = 0;
    std::size_t answeredStreams = 0;
    std::size_t closedStreams = 0;
    Meter meter;
    std::function<void()> openMoreStreams = [&] {
        while (startedStreams < options.streams && startedStreams < answeredStreams + maxUnansweredStreams) {
            ++startedStreams;
            MessageStreamHandlers handlers;
            handlers.message = [&](const Bytes &) {
                ++answeredStreams;
                openMoreStreams();
            };
            handlers.closed = [&](ResultCode code) {
                ++closedStreams;
                fmt::print(stderr, "stream closed: {}\n", resultName(code));
            };
            const auto stream = client->open(options.address, "/watch", handlers);
            jujubequay::pb::MetricsPart hello;
            hello.set_text("hello");
            stream->send(hello);
        }
    };
    openMoreStreams();
    while (answeredStreams < options.streams && closedStreams == 0) {
        context.run_one();
    }
    meter.print("open", answeredStreams);
    context.run_for(options.idle);
    meter.print("idle", answeredStreams);
    if (closedStreams > 0) {
        return fail(ResultCode::ConnectionLost, fmt::format("{} streams were closed", closedStreams));
    }
    return {};
}

Result<void> run(const std::vector<std::string> &arguments)
{
    CommandLine line({"control-stream-bench",
                      "Measures the processor time and memory of control streams. ROLE is server or client; both take the same options.",
                      {{"control-stream-bench server --streams 1000 --idle-s 20 --keys keys", "Start the server first."},
                       {"control-stream-bench client --streams 1000 --idle-s 20 --keys keys", "Start the client."}}},
                     false);
    TCLAP::UnlabeledValueArg<std::string> role("role", "server or client", true, "", "ROLE", line.parser());
    TCLAP::ValueArg<std::string> address("", "address", "address of the server", false, "127.0.0.1:17400", "ADDRESS", line.parser());
    TCLAP::ValueArg<std::string> keys("", "keys", "directory for certificates; they are created there", true, "", "DIRECTORY", line.parser());
    TCLAP::ValueArg<std::size_t> streams("", "streams", "streams to open", false, 1, "N", line.parser());
    TCLAP::ValueArg<int> idle("", "idle-s", "idle time after all streams are open, in seconds", false, 0, "S", line.parser());
    TCLAP::ValueArg<int> ping("", "ping-interval-ms", "idle time after which the connection is probed with a PING", false, 10000, "MS", line.parser());
    TCLAP::SwitchArg shared("", "shared", "open all streams on one connection", line.parser());
    BOOST_LEAF_CHECK(line.parse(arguments));
    const auto parsed = parseHostAddress(address.getValue());
    if (!parsed) {
        return fail(ResultCode::BadCommandLine, "--address: expected an address such as 127.0.0.1:17400");
    }
    const BenchOptions options{
        *parsed, keys.getValue(), streams.getValue(), std::chrono::seconds(idle.getValue()), std::chrono::milliseconds(ping.getValue()), shared.getValue()};
    return role.getValue() == "server" ? runServer(options) : runClient(options);
}

}

int main(int argc, char **argv)
{
    return runProgram("control-stream-bench", [&] {
        return run({argv, argv + argc});
    });
}

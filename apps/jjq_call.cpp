#include <jujubequay/daemon/call_run.h>
#include <jujubequay/daemon/command_line.h>

#include <asio/signal_set.hpp>

#include <fmt/format.h>

#include <csignal>

using namespace Jujubequay;

namespace {

ProgramDescription description()
{
    return {"jjq-call",
            "Opens flows to a service, sends requests and follows feeds. Prints a summary; the exit status is the first result that is not Ok.",
            {
                {"jjq-call --settings jjq-call.toml --service inspect-desk --path /finding", "Sends one request."},
                {"jjq-call --settings jjq-call.toml --service slotboard --callers 200 --feeds 1 --rate 100 --requests 0 --duration-s 60 --json",
                 "Runs 200 callers with one feed each and sends 100 requests per second for a minute."},
            }};
}

/// Command line options of jjq-call in addition to the common options.
class PlanOptions
{
public:
    explicit PlanOptions(TCLAP::CmdLine &line)
        : m_service("", "service", "name of the service in its certificate", true, "", "NAME", line)
        , m_path("", "path", "path of the requests", false, "/", "PATH", line)
        , m_feedPath("", "feed-path", "path of the feeds", false, "/feed", "PATH", line)
        , m_callers("", "callers", "callers in this process, each with its own flows", false, 1, "NUMBER", line)
        , m_flows("", "flows", "flows of each caller", false, 2, "NUMBER", line)
        , m_feeds("", "feeds", "feeds that each caller keeps open during the run", false, 0, "NUMBER", line)
        , m_requests("", "requests", "requests of all callers together; 0: as many as fit into the duration", false, 1, "NUMBER", line)
        , m_rate("", "rate", "requests per second of all callers together; 0: all requests at once", false, 0, "RATE", line)
        , m_seconds("", "duration-s", "length of the run in seconds; 0: until all requests are answered", false, 0, "SECONDS", line)
        , m_bodyBytes("", "body-bytes", "length of each request's body", false, 0, "BYTES", line)
        , m_loss("", "loss", "fraction of datagrams to drop in each direction, 0 to 1", false, 0, "SHARE", line)
        , m_local("", "local", "local address; port 0: any", false, "127.0.0.1:0", "ADDRESS", line)
        , m_json("", "json", "print the summary as JSON instead of key=value", line)
    {
    }

    Result<CallPlan> plan()
    {
        const std::optional<HostAddress> local = parseHostAddress(m_local.getValue());
        if (!local) {
            return fail(ResultCode::BadCommandLine, "--local: expected an address such as 127.0.0.1:0");
        }
        if (m_callers.getValue() < 1 || m_callers.getValue() > maxCallers || m_flows.getValue() < 1) {
            return fail(ResultCode::BadCommandLine, "--callers: expected 1 to 65535, --flows: at least 1");
        }
        if (m_loss.getValue() < 0 || m_loss.getValue() > 1) {
            return fail(ResultCode::BadCommandLine, "--loss: expected 0 to 1");
        }
        if (m_seconds.getValue() <= 0 && m_requests.getValue() == 0) {
            return fail(ResultCode::BadCommandLine, "--duration-s or --requests must be greater than 0");
        }
        CallPlan plan;
        plan.service = m_service.getValue();
        plan.path = m_path.getValue();
        plan.feedPath = m_feedPath.getValue();
        plan.callers = m_callers.getValue();
        plan.flowsPerCaller = m_flows.getValue();
        plan.feedsPerCaller = m_feeds.getValue();
        plan.requests = m_requests.getValue();
        plan.ratePerSecond = m_rate.getValue();
        plan.duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_seconds.getValue()));
        plan.bodyBytes = m_bodyBytes.getValue();
        plan.lossRate = m_loss.getValue();
        plan.local = *local;
        return plan;
    }

    bool isJson()
    {
        return m_json.getValue();
    }

private:
    static constexpr std::uint32_t maxCallers = 65'535;

    TCLAP::ValueArg<std::string> m_service;
    TCLAP::ValueArg<std::string> m_path;
    TCLAP::ValueArg<std::string> m_feedPath;
    TCLAP::ValueArg<std::uint32_t> m_callers;
    TCLAP::ValueArg<std::uint32_t> m_flows;
    TCLAP::ValueArg<std::uint32_t> m_feeds;
    TCLAP::ValueArg<std::uint64_t> m_requests;
    TCLAP::ValueArg<double> m_rate;
    TCLAP::ValueArg<double> m_seconds;
    TCLAP::ValueArg<std::size_t> m_bodyBytes;
    TCLAP::ValueArg<double> m_loss;
    TCLAP::ValueArg<std::string> m_local;
    TCLAP::SwitchArg m_json;
};

Result<void> call(const CallSettings &settings, CallPlan plan, bool isJson)
{
    if (!settings.trustedCertificate) {
        return fail(ResultCode::BadSettings, "trusted_certificate_file: required");
    }
    BOOST_LEAF_AUTO(authorities, readPemFile(settings.trustedCertificate->string()));
    BOOST_LEAF_AUTO(credentials, TlsCredentials::client(authorities));
    const SteadyClock clock;
    asio::io_context context;
    BOOST_LEAF_AUTO(run, CallRun::start(context, clock, settings, std::move(plan), credentials));
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&run](const asio::error_code &error, int) {
        if (!error) {
            run->stop();
        }
    });
    while (!run->isDone()) {
        context.run_one();
    }
    const CallSummary &summary = run->summary();
    fmt::print("{}", isJson ? summary.jsonText() : summary.keyValueText());
    if (summary.result() != ResultCode::Ok) {
        return fail(summary.result(), "not every request had the result Ok");
    }
    return {};
}

Result<void> run(const std::vector<std::string> &arguments)
{
    CommandLine line(description());
    PlanOptions planOptions(line.parser());
    BOOST_LEAF_AUTO(options, line.parse(arguments));
    BOOST_LEAF_AUTO(reader, SettingsReader::open(options.settings));
    const CallSettings settings = readCallSettings(reader);
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_AUTO(plan, planOptions.plan());
    if (options.isCheckOnly) {
        return {};
    }
    return call(settings, std::move(plan), planOptions.isJson());
}

}

int main(int argc, char **argv)
{
    return runProgram("jjq-call", [&] {
        return run({argv, argv + argc});
    });
}

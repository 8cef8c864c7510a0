#include <jujubequay/daemon/backend_server.h>
#include <jujubequay/daemon/command_line.h>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <fstream>

using namespace Jujubequay;

namespace {

constexpr auto drainPollInterval = std::chrono::milliseconds(50);

ProgramDescription description()
{
    return {"jjq-backend",
            "Stub of a backend server on HTTP/2 without TLS, for tests and demonstrations. SIGTERM drains the server; it exits when its work is done.",
            {
                {"jjq-backend --settings examples/settings/jjq-backend.toml", "Serves with the settings in the file."},
                {"jjq-backend --settings jjq-backend.toml --check-settings", "Checks the file and exits."},
            }};
}

/// Polls the server until it is drained, then stops the context.
void stopWhenDrained(asio::io_context &context, BackendServer &server, asio::steady_timer &timer)
{
    if (server.isDrained()) {
        context.stop();
        return;
    }
    timer.expires_after(drainPollInterval);
    timer.async_wait([&](const asio::error_code &error) {
        if (!error) {
            stopWhenDrained(context, server, timer);
        }
    });
}

/// Writes a line "identity count" for each executed request.
Result<void> writeExecutions(const BackendServer &server, const std::string &file)
{
    std::ofstream out(file);
    out << server.executionsText(1);
    out.close();
    return out ? Result<void>() : Result<void>(fail(ResultCode::DiskFailed, fmt::format("cannot write {}", file)));
}

Result<void> serve(const BackendSettings &settings, LogLevel level, const std::string &executionsFile)
{
    const SteadyClock clock;
    Logger logger(clock, {"jjq-backend", toString(settings.address), "none"}, {.level = level});
    asio::io_context context;
    BOOST_LEAF_AUTO(server, BackendServer::listen(context, clock, logger, settings));
    asio::steady_timer timer(context);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const asio::error_code &error, int) {
        if (!error) {
            server->drain();
            stopWhenDrained(context, *server, timer);
        }
    });
    logger.info("listening", {{"address", toString(server->address())}, {"slots", settings.slots}});
    context.run();
    return executionsFile.empty() ? Result<void>() : writeExecutions(*server, executionsFile);
}

Result<void> run(const std::vector<std::string> &arguments)
{
    CommandLine line(description());
    TCLAP::ValueArg<std::string> executionsFile(
        "", "executions-file", "file for the executed request identities, written at exit", false, "", "FILE", line.parser());
    BOOST_LEAF_AUTO(options, line.parse(arguments));
    BOOST_LEAF_AUTO(reader, SettingsReader::open(options.settings));
    const BackendSettings settings = readBackendSettings(reader);
    BOOST_LEAF_CHECK(reader.finish());
    if (options.isCheckOnly) {
        return {};
    }
    return serve(settings, options.logLevel.value_or(settings.logLevel), executionsFile.getValue());
}

}

int main(int argc, char **argv)
{
    return runProgram("jjq-backend", [&] {
        return run({argv, argv + argc});
    });
}

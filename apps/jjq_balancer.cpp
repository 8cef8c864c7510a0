#include <jujubequay/balancer_program/balancer_process.h>
#include <jujubequay/daemon/command_line.h>

using namespace Jujubequay;

namespace {

ProgramDescription description()
{
    return {"jjq-balancer",
            "Balancer of an entry host: forwards datagrams of callers to the agents of the backend servers. Keeps no state per flow.",
            {
                {"jjq-balancer --settings /etc/jujubequay/jjq-balancer.toml", "Runs the balancer."},
                {"jjq-balancer --settings jjq-balancer.toml --check-settings", "Checks the file and exits."},
            }};
}

Result<void> run(const std::vector<std::string> &arguments)
{
    CommandLine line(description());
    BOOST_LEAF_AUTO(options, line.parse(arguments));
    BOOST_LEAF_AUTO(reader, SettingsReader::open(options.settings));
    BalancerSettings settings = readBalancerSettings(reader);
    BOOST_LEAF_CHECK(reader.finish());
    settings.common.logLevel = options.logLevel.value_or(settings.common.logLevel);
    return options.isCheckOnly ? Result<void>() : runBalancer(settings);
}

}

int main(int argc, char **argv)
{
    return runProgram("jjq-balancer", [&] {
        return run({argv, argv + argc});
    });
}

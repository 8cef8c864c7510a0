#include <jujubequay/agent_program/agent_process.h>
#include <jujubequay/daemon/command_line.h>

using namespace Jujubequay;

namespace {

ProgramDescription description()
{
    return {"jjq-agent",
            "Agent of one co-located backend server: announces the server, terminates flows of callers and admits their requests. SIGTERM drains the agent.",
            {
                {"jjq-agent --settings /etc/jujubequay/jjq-agent.toml", "Runs the agent."},
                {"jjq-agent --settings jjq-agent.toml --check-settings", "Checks the file and exits."},
            }};
}

Result<void> run(const std::vector<std::string> &arguments)
{
    CommandLine line(description());
    BOOST_LEAF_AUTO(options, line.parse(arguments));
    BOOST_LEAF_AUTO(reader, SettingsReader::open(options.settings));
    AgentSettings settings = readAgentSettings(reader);
    BOOST_LEAF_CHECK(reader.finish());
    settings.common.logLevel = options.logLevel.value_or(settings.common.logLevel);
    return options.isCheckOnly ? Result<void>() : runAgent(settings);
}

}

int main(int argc, char **argv)
{
    return runProgram("jjq-agent", [&] {
        return run({argv, argv + argc});
    });
}

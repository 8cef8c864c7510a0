#include <jujubequay/control_program/control_process.h>
#include <jujubequay/daemon/command_line.h>

using namespace Jujubequay;

namespace {

ProgramDescription description()
{
    return {"jjq-control",
            "Control host: stores bundles, signers and flow keys in a replicated log, and keeps the registry of backend servers.",
            {
                {"jjq-control --settings a.toml --initialise --found", "Once, on the first control host: starts a new cluster."},
                {"jjq-control --settings b.toml --initialise", "Once for each new or replaced disk. Then add the host with \"jjq members add\"."},
                {"jjq-control --settings a.toml", "Runs the control host."},
            }};
}

Result<void> run(const std::vector<std::string> &arguments)
{
    CommandLine line(description());
    TCLAP::SwitchArg initialise("", "initialise", "write a disk identity to an empty data directory and exit", line.parser());
    TCLAP::SwitchArg found("", "found", "with --initialise: start a new cluster with this host as its only voter", line.parser());
    BOOST_LEAF_AUTO(options, line.parse(arguments));
    if (found.isSet() && !initialise.isSet()) {
        return fail(ResultCode::BadCommandLine, "--found needs --initialise");
    }
    BOOST_LEAF_AUTO(reader, SettingsReader::open(options.settings));
    ControlSettings settings = readControlSettings(reader);
    BOOST_LEAF_CHECK(reader.finish());
    if (options.logLevel) {
        settings.common.logLevel = *options.logLevel;
    }
    if (options.isCheckOnly) {
        return {};
    }
    if (initialise.isSet()) {
        BOOST_LEAF_AUTO(identity, initialiseControlDisk(settings, found.isSet() ? DiskPurpose::Bootstrap : DiskPurpose::Join));
        fmt::print("host {}\ndisk {}\n", identity.host, identity.id);
        return {};
    }
    return runControlHost(settings);
}

}

int main(int argc, char **argv)
{
    return runProgram("jjq-control", [&] {
        return run({argv, argv + argc});
    });
}

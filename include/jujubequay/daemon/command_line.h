#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/log.h>

#include <tclap/CmdLine.h>

#include <filesystem>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Jujubequay {

constexpr std::string_view programVersion = "0.1.0";

/// An example command line in the output of --help.
struct CommandExample {
    std::string command;
    std::string purpose;
};

/// Name, purpose and examples of a program in the output of --help.
struct ProgramDescription {
    std::string name;
    std::string purpose;
    std::vector<CommandExample> examples;
};

/// Values of the options that all programs have in common.
struct CommonOptions {
    std::filesystem::path settings;
    bool isCheckOnly = false; ///< --check-settings: check the settings file and exit
    std::optional<LogLevel> logLevel; ///< overrides the settings file
};

/// Parser for the command line of a program: the common options and those that the program adds.
///
///     CommandLine line({"jjq-control", "Control host.", {}});
///     TCLAP::SwitchArg initialise("", "initialise", "write a new disk identity", line.parser());
///     BOOST_LEAF_AUTO(options, line.parse({argv, argv + argc}));
///
/// --help and --version throw TCLAP::ExitException, which runProgram turns into the exit status.
class CommandLine
{
public:
    explicit CommandLine(ProgramDescription description, bool needsSettings = true);

    /// The parser to which the program adds its options.
    TCLAP::CmdLine &parser();
    /// Parses the arguments, of which the first is the program name. Fails with BadCommandLine.
    Result<CommonOptions> parse(std::vector<std::string> arguments);

private:
    /// Prints the usage text of TCLAP followed by the examples.
    class Output final : public TCLAP::StdOutput
    {
    public:
        explicit Output(const ProgramDescription &description);
        void usage(TCLAP::CmdLineInterface &line) override;
        void version(TCLAP::CmdLineInterface &line) override;

    private:
        const ProgramDescription &m_description;
    };

    ProgramDescription m_description;
    Output m_output;
    TCLAP::CmdLine m_parser;
    TCLAP::ValueArg<std::string> m_settings;
    TCLAP::SwitchArg m_checkSettings;
    TCLAP::ValueArg<std::string> m_logLevel;
};

/// Runs the body of `main` and returns the exit status. Prints the error to standard error if the body fails.
int runProgram(std::string_view name, const std::function<Result<void>()> &body);

}

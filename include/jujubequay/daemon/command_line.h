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

/// An example call, shown by --help.
struct CommandExample {
    std::string command;
    std::string purpose;
};

/// What --help says about a program.
struct ProgramDescription {
    std::string name;
    std::string purpose;
    std::vector<CommandExample> examples;
};

/// The options that all programs have.
struct CommonOptions {
    std::filesystem::path settings;
    bool isCheckOnly = false;
    std::optional<LogLevel> logLevel; ///< overrides the settings file
};

/// Command line of a program: the common options and those that the program adds.
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

    TCLAP::CmdLine &parser();
    /// Fails with BadCommandLine.
    Result<CommonOptions> parse(std::vector<std::string> arguments);

private:
    /// Shows the options as TCLAP does, and the examples after them.
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

/// Runs the body of `main`: prints the error of a failed body to standard error and returns the exit status.
int runProgram(std::string_view name, const std::function<Result<void>()> &body);

}

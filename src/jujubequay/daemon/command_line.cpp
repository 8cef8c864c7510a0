#include <jujubequay/daemon/command_line.h>
#include <jujubequay/daemon/exit_status.h>

#include <google/protobuf/stubs/logging.h>

#include <fmt/format.h>

#include <cstdio>
#include <iostream>

namespace Jujubequay {

CommandLine::Output::Output(const ProgramDescription &description)
    : m_description(description)
{
}

void CommandLine::Output::usage(TCLAP::CmdLineInterface &line)
{
    TCLAP::StdOutput::usage(line);
    std::cout << "Examples:\n\n";
    for (const CommandExample &example : m_description.examples) {
        std::cout << "   " << example.command << "\n      " << example.purpose << "\n\n";
    }
}

void CommandLine::Output::version(TCLAP::CmdLineInterface &)
{
    std::cout << m_description.name << ' ' << programVersion << '\n';
}

CommandLine::CommandLine(ProgramDescription description, bool needsSettings)
    : m_description(std::move(description))
    , m_output(m_description)
    , m_parser(m_description.purpose, ' ', std::string(programVersion))
    , m_settings("", "settings", "settings file (TOML)", needsSettings, "", "FILE", m_parser)
    , m_checkSettings("", "check-settings", "check the settings file and exit", m_parser)
    , m_logLevel("", "log-level", "debug, info, warning or error; overrides the settings file", false, "", "LEVEL", m_parser)
{
    m_parser.setOutput(&m_output);
    m_parser.setExceptionHandling(false);
}

TCLAP::CmdLine &CommandLine::parser()
{
    return m_parser;
}

Result<CommonOptions> CommandLine::parse(std::vector<std::string> arguments)
{
    try {
        m_parser.parse(arguments);
    } catch (const TCLAP::ArgException &error) {
        return fail(ResultCode::BadCommandLine, fmt::format("{} {}", error.argId(), error.error()));
    }
    CommonOptions options;
    options.settings = m_settings.getValue();
    options.isCheckOnly = m_checkSettings.getValue();
    if (m_logLevel.isSet()) {
        options.logLevel = parseLogLevel(m_logLevel.getValue());
        if (!options.logLevel) {
            return fail(ResultCode::BadCommandLine, fmt::format("--log-level: \"{}\" is not debug, info, warning or error", m_logLevel.getValue()));
        }
    }
    return options;
}

int runProgram(std::string_view name, const std::function<Result<void>()> &body)
{
    // Protobuf logs each string that is not valid UTF-8, so a peer could flood the log.
    google::protobuf::SetLogHandler(nullptr);
    return handleFailure(
        [&]() -> Result<int> {
            try {
                BOOST_LEAF_CHECK(body());
            } catch (const TCLAP::ExitException &exit) {
                return exit.getExitStatus();
            }
            return 0;
        },
        [&](const Failure &failure) {
            fmt::print(stderr, "{}: {}\n{}\n", name, resultName(failure.code), failure.detail);
            return exitStatus(failure.code);
        });
}

}

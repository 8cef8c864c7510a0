#pragma once

#include <jujubequay/daemon/command_line.h>
#include <jujubequay/daemon/operator_settings.h>

#include <control.pb.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "control_connection.h"
#include "output.h"

namespace Jujubequay {

/// Parses the command line of a command that does not contact the control hosts.
class OfflineCommand
{
public:
    OfflineCommand(ProgramDescription description, bool needsSettings = false);

    TCLAP::CmdLine &parser();
    Result<void> parse(const std::vector<std::string> &arguments);
    OutputFormat format() const;
    const CommonOptions &options() const;

private:
    CommandLine m_line;
    TCLAP::ValueArg<std::string> m_output;
    CommonOptions m_options;
    OutputFormat m_format = OutputFormat::Table;
};

/// Parses the command line of a command that contacts the control hosts, and sends its requests.
class OnlineCommand
{
public:
    explicit OnlineCommand(ProgramDescription description);

    TCLAP::CmdLine &parser();
    /// Parses the arguments and reads the settings file. Fails with BadCommandLine, BadSettings or BadKeyFile.
    Result<void> parse(const std::vector<std::string> &arguments);
    OutputFormat format() const;
    const OperatorSettings &settings() const;
    ControlConnection &connection();

    /// Sends the command and prints the answer. If the command is refused, fails with the result code of the answer.
    Result<void> execute(jujubequay::pb::Command command);

private:
    Result<void> setOperationId(jujubequay::pb::Command &command);
    Result<void> print(const jujubequay::pb::Command &command, const jujubequay::pb::CommandAnswer &answer) const;

    OfflineCommand m_command;
    TCLAP::ValueArg<std::string> m_operationId;
    OperatorSettings m_settings;
    std::unique_ptr<ControlConnection> m_connection;
};

/// Reads a whole file. Fails with BadCommandLine.
Result<std::string> readFile(const std::filesystem::path &path);
/// Writes a new file. Fails with BadCommandLine if the file exists or cannot be written.
Result<void> writeNewFile(const std::filesystem::path &path, std::string_view content);

using Arguments = std::vector<std::string>;

// Each function runs one command. `arguments` starts with the name of the command.
Result<void> createBundle(const Arguments &arguments);
Result<void> showBundle(const Arguments &arguments);
Result<void> signBundleFile(const Arguments &arguments);
Result<void> proposeBundle(const Arguments &arguments);
Result<void> submitSignature(const Arguments &arguments);
Result<void> rollBundle(const Arguments &arguments);
Result<void> rollBackBundle(const Arguments &arguments);
Result<void> showStatus(const Arguments &arguments);
Result<void> listKeys(const Arguments &arguments);
Result<void> addSigner(const Arguments &arguments);
Result<void> removeSigner(const Arguments &arguments);
Result<void> addFlowKey(const Arguments &arguments);
Result<void> activateFlowKey(const Arguments &arguments);
Result<void> retireFlowKey(const Arguments &arguments);
Result<void> listMembers(const Arguments &arguments);
Result<void> addMember(const Arguments &arguments);
Result<void> removeMember(const Arguments &arguments);
Result<void> generateSignerKey(const Arguments &arguments);

}

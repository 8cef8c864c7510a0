#include "command_context.h"

#include <fstream>
#include <iterator>

namespace Jujubequay {

namespace pb = jujubequay::pb;

OfflineCommand::OfflineCommand(ProgramDescription description, bool needsSettings)
    : m_line(std::move(description), needsSettings)
    , m_output("", "output", "table or json", false, "table", "FORMAT", m_line.parser())
{
}

TCLAP::CmdLine &OfflineCommand::parser()
{
    return m_line.parser();
}

Result<void> OfflineCommand::parse(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_ASSIGN(m_options, m_line.parse(arguments));
    const auto format = outputFormatNames.value(m_output.getValue());
    if (!format) {
        return fail(ResultCode::BadCommandLine, fmt::format("--output: \"{}\" is neither table nor json", m_output.getValue()));
    }
    m_format = *format;
    return {};
}

OutputFormat OfflineCommand::format() const
{
    return m_format;
}

const CommonOptions &OfflineCommand::options() const
{
    return m_options;
}

OnlineCommand::OnlineCommand(ProgramDescription description)
    : m_command(std::move(description), true)
    , m_operationId("", "operation-id", "operation identity of an earlier attempt, to send the same command again", false, "", "ID", m_command.parser())
{
}

TCLAP::CmdLine &OnlineCommand::parser()
{
    return m_command.parser();
}

Result<void> OnlineCommand::parse(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_CHECK(m_command.parse(arguments));
    BOOST_LEAF_AUTO(reader, SettingsReader::open(m_command.options().settings));
    m_settings = readOperatorSettings(reader);
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(m_connection, ControlConnection::create(m_settings));
    return {};
}

OutputFormat OnlineCommand::format() const
{
    return m_command.format();
}

const OperatorSettings &OnlineCommand::settings() const
{
    return m_settings;
}

ControlConnection &OnlineCommand::connection()
{
    return *m_connection;
}

Result<void> OnlineCommand::setOperationId(pb::Command &command)
{
    std::string operationId = m_operationId.getValue();
    if (operationId.empty()) {
        BOOST_LEAF_ASSIGN(operationId, m_connection->newOperationId());
    }
    BOOST_LEAF_AUTO(operationsSeen, parseOperationsSeen(operationId));
    command.set_operation_id(operationId);
    command.set_operations_seen(operationsSeen);
    return {};
}

Result<void> OnlineCommand::execute(pb::Command command)
{
    BOOST_LEAF_CHECK(setOperationId(command));
    pb::OperatorUp message;
    message.set_command(command.SerializeAsString());
    const auto answer = handleFailure(
        [&]() -> Result<pb::CommandAnswer> {
            BOOST_LEAF_AUTO(received, m_connection->sendRequest(message));
            return received.answer();
        },
        [&command](const Failure &failure) {
            pb::CommandAnswer unknown;
            unknown.set_result(static_cast<std::uint32_t>(failure.code));
            unknown.set_detail(fmt::format("{}\nTo send the same command again, add: --operation-id {}", failure.detail, command.operation_id()));
            return unknown;
        });
    return print(command, answer);
}

Result<void> OnlineCommand::print(const pb::Command &command, const pb::CommandAnswer &answer) const
{
    const auto code = static_cast<ResultCode>(answer.result());
    if (format() == OutputFormat::Json) {
        printJson(toml::table{
            {"result", resultName(code)},
            {"code", toJsonInteger(answer.result())},
            {"detail", answer.detail()},
            {"revision", toJsonInteger(answer.revision())},
            {"digest", toHex(answer.digest())},
            {"winner", answer.winner()},
            {"operation_id", command.operation_id()},
        });
    } else if (code == ResultCode::Ok) {
        fmt::print("Ok revision={}{}\n", answer.revision(), answer.digest().empty() ? "" : " digest=" + toHex(answer.digest()));
    }
    if (code != ResultCode::Ok) {
        return fail(code, answer.winner().empty() ? answer.detail() : fmt::format("{} (winner: {})", answer.detail(), answer.winner()));
    }
    return {};
}

Result<std::string> readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string content{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
        return fail(ResultCode::BadCommandLine, fmt::format("{}: cannot be read", path.string()));
    }
    return content;
}

Result<void> writeNewFile(const std::filesystem::path &path, std::string_view content)
{
    if (std::filesystem::exists(path)) {
        return fail(ResultCode::BadCommandLine, fmt::format("{}: exists already", path.string()));
    }
    std::ofstream file(path, std::ios::binary);
    file << content << std::flush;
    if (!file) {
        return fail(ResultCode::BadCommandLine, fmt::format("{}: cannot be written", path.string()));
    }
    return {};
}

}

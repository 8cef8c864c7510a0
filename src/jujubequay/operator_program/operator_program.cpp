#include <jujubequay/operator_program/operator_program.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "command_context.h"

namespace Jujubequay {

namespace {

/// A command in the help text, with the function that runs it.
struct CommandEntry {
    std::string_view name; ///< one or two words
    std::string_view purpose;
    Result<void> (*run)(const Arguments &);
};

constexpr std::array<CommandEntry, 18> commands{{
    {"bundle create", "write a bundle file", createBundle},
    {"bundle show", "show a bundle file", showBundle},
    {"sign", "sign a bundle file, offline", signBundleFile},
    {"propose", "propose a bundle", proposeBundle},
    {"submit", "add a signature to a proposed bundle", submitSignature},
    {"roll", "put a signed bundle in force", rollBundle},
    {"rollback", "return to an older version", rollBackBundle},
    {"status", "show what is in force in each availability zone", showStatus},
    {"keys list", "list signers and flow keys", listKeys},
    {"keys signer-add", "add a signer", addSigner},
    {"keys signer-remove", "remove a signer", removeSigner},
    {"keys flow-add", "add a flow key", addFlowKey},
    {"keys flow-activate", "use a flow key for new flows", activateFlowKey},
    {"keys flow-retire", "remove a flow key", retireFlowKey},
    {"members list", "list the control hosts", listMembers},
    {"members add", "add a control host", addMember},
    {"members remove", "remove a control host", removeMember},
    {"keygen", "create a signer key", generateSignerKey},
}};

void printHelp()
{
    fmt::print("Usage: jjq COMMAND [options]\n\nCommands:\n\n");
    for (const CommandEntry &command : commands) {
        fmt::print("   {:<20} {}\n", command.name, command.purpose);
    }
    fmt::print("\nExamples:\n\n   jjq status --settings jjq.toml\n      Shows what is in force in each availability zone.\n\n"
               "   jjq roll --help\n      Shows the options of one command.\n\n"
               "The exit status is 0, or the number of the result code (3xx becomes 30 to 39, 4xx becomes 40 to 49).\n");
}

bool isHelp(const Arguments &arguments)
{
    return arguments.size() > 1 && (arguments[1] == "--help" || arguments[1] == "-h" || arguments[1] == "help");
}

/// Returns the first `wordCount` arguments after the program name, joined by spaces.
std::string commandName(const Arguments &arguments, std::size_t wordCount)
{
    std::string name;
    for (std::size_t index = 1; index <= wordCount && index < arguments.size(); ++index) {
        name += (index > 1 ? " " : "") + arguments[index];
    }
    return name;
}

}

Result<void> runOperatorCommand(const std::vector<std::string> &arguments)
{
    if (isHelp(arguments)) {
        printHelp();
        return {};
    }
    for (const std::size_t wordCount : {std::size_t{2}, std::size_t{1}}) {
        const std::string name = commandName(arguments, wordCount);
        const auto command = std::find_if(commands.begin(), commands.end(), [&name](const CommandEntry &entry) {
            return entry.name == name;
        });
        if (command != commands.end() && arguments.size() > wordCount) {
            Arguments rest{"jjq " + name};
            rest.insert(rest.end(), arguments.begin() + static_cast<std::ptrdiff_t>(wordCount) + 1, arguments.end());
            return command->run(rest);
        }
    }
    return fail(ResultCode::BadCommandLine, "unknown command; \"jjq --help\" lists the commands");
}

}

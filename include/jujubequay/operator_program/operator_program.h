#pragma once

#include <jujubequay/core/error.h>

#include <string>
#include <vector>

namespace Jujubequay {

/// Runs one command of the operators' program; `arguments` starts with the program's name. Fails with the result code
/// of the command, for example VersionConflict, or with BadCommandLine, BadSettings, BadKeyFile, Timeout or
/// OutcomeUnknown.
Result<void> runOperatorCommand(const std::vector<std::string> &arguments);

}

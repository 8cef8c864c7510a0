#pragma once

#include <jujubequay/core/error.h>

#include <string>
#include <vector>

namespace Jujubequay {

/// Runs one command of jjq, the program for operators. `arguments` starts with the program name. Fails with the result code of the command,
/// for example VersionConflict, or with BadCommandLine, BadSettings, BadKeyFile, Timeout or OutcomeUnknown.
Result<void> runOperatorCommand(const std::vector<std::string> &arguments);

}

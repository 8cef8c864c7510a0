#pragma once

#include <string>

namespace Jujubequay {

/// The text of docs/settings.md, made from the reads of all programs.
std::string settingsDocumentation();

}

#pragma once

#include <string>

namespace Jujubequay {

/// Returns the text of docs/settings.md, generated from the functions that read the settings of all programs.
std::string settingsDocumentation();

}

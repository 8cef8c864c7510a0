#pragma once

#include <string_view>

namespace Jujubequay::Consensus {

/// Sets a text of at most 255 characters that is printed to standard error if the process aborts, for example the seed of the current run.
void setRunLabel(std::string_view label);

}

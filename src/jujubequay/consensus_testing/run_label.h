#pragma once

#include <string_view>

namespace Jujubequay::Consensus {

/// Text that is printed to standard error when the process aborts, for example the seed of the current run.
void setRunLabel(std::string_view label);

}

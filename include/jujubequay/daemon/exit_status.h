#pragma once

#include <jujubequay/core/result_code.h>

namespace Jujubequay {

/// Returns the exit status of a program for a result code. Codes up to 255 are used unchanged; 3xx becomes 30 to 39 and 4xx becomes 40 to 49.
int exitStatus(ResultCode code);

}

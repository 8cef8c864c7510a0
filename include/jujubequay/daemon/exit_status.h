#pragma once

#include <jujubequay/core/result_code.h>

namespace Jujubequay {

/// Exit status of a program that ends with `code`. Numbers up to 255 are used as they are; 3xx becomes 30 to 39 and 4xx
/// becomes 40 to 49.
int exitStatus(ResultCode code);

}

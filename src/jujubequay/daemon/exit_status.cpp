#include <jujubequay/core/invariant.h>
#include <jujubequay/daemon/exit_status.h>

namespace Jujubequay {

int exitStatus(ResultCode code)
{
    constexpr int maxStatus = 255;
    const int number = static_cast<int>(code);
    if (number <= maxStatus) {
        return number;
    }
    const int group = number / 100;
    const int member = number % 100;
    checkInvariant(group <= 9 && member <= 9, "result codes above 255 have an exit status");
    return group * 10 + member;
}

}

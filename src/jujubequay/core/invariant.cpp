#include <jujubequay/core/invariant.h>

#include <fmt/core.h>

#include <cstdio>
#include <cstdlib>

namespace Jujubequay {

void checkInvariant(bool holds, std::string_view invariant)
{
    if (holds) {
        return;
    }
    fmt::print(stderr, "level=fatal event=invariant-violated invariant=\"{}\"\n", invariant);
    std::abort();
}

}

#pragma once

#include <string_view>

namespace Jujubequay {

/// Stops the process when a stated invariant does not hold. On in all builds: going on would break a guarantee.
///
///     checkInvariant(revision > m_revision, "revisions rise");
void checkInvariant(bool holds, std::string_view invariant);

}

#pragma once

#include <string_view>

namespace Jujubequay {

/// Logs the invariant and aborts the process if it does not hold. Active in all builds, because continuing would break a guarantee.
///
///     checkInvariant(revision > m_revision, "revisions increase");
void checkInvariant(bool holds, std::string_view invariant);

}

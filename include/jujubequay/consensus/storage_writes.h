#pragma once

#include <jujubequay/consensus/effects.h>
#include <jujubequay/consensus/log_storage.h>

#include <cstdint>
#include <optional>

namespace Jujubequay::Consensus {

/// Carries out a Persist or SaveSnapshot effect, including the sync, and returns its sequence for `Replica::onWritesDurable`. Returns no value for other
/// effects. After an error the process must stop.
///
///     BOOST_LEAF_AUTO(sequence, writeEffect(storage, effect));
///     if (sequence) { effects = replica.onWritesDurable(clock.now(), *sequence); }
Result<std::optional<std::uint64_t>> writeEffect(LogStorage &storage, const Effect &effect);

}

#include <jujubequay/consensus/storage_writes.h>

namespace Jujubequay::Consensus {

namespace {

Result<void> write(LogStorage &storage, const Persist &effect)
{
    if (effect.hardState) {
        BOOST_LEAF_CHECK(storage.saveHardState(*effect.hardState));
    }
    if (!effect.entries.empty()) {
        BOOST_LEAF_CHECK(storage.append(effect.entries));
    }
    return storage.sync();
}

}

Result<std::optional<std::uint64_t>> writeEffect(LogStorage &storage, const Effect &effect)
{
    if (const auto *persist = std::get_if<Persist>(&effect)) {
        BOOST_LEAF_CHECK(write(storage, *persist));
        return persist->sequence;
    }
    if (const auto *save = std::get_if<SaveSnapshot>(&effect)) {
        BOOST_LEAF_CHECK(storage.saveSnapshot(save->snapshot, save->hardState, save->base, save->entries));
        return save->sequence;
    }
    return std::nullopt;
}

}

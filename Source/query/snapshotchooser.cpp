#include "query/snapshotchooser.h"

#include "core/erasevaluesif.h"

namespace Lycheewall
{

SnapshotChooser::SnapshotChooser(const Clock &clock)
    : clock(clock)
{
}

std::optional<SnapshotVersion> SnapshotChooser::choose(const Pool &pool) const
{
    if (const auto fresh = this->chooseOther(pool, {})) {
        return fresh;
    }
    if (pool.snapshots.empty()) {
        return std::nullopt;
    }
    return pool.snapshots.back().version;
}

std::optional<SnapshotVersion> SnapshotChooser::chooseOther(const Pool &pool,
                                                            const std::set<SnapshotVersion> &tried) const
{
    const std::lock_guard lock(this->mutex);
    for (auto snapshot = pool.snapshots.rbegin(); snapshot != pool.snapshots.rend(); ++snapshot) {
        if (tried.count(snapshot->version) == 0 && !this->isNoted(pool.id, snapshot->version)) {
            return snapshot->version;
        }
    }
    return std::nullopt;
}

void SnapshotChooser::noteUnavailable(const PoolId &pool, SnapshotVersion version)
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.now();
    eraseValuesIf(this->notes, [now](TimePoint expiry) { return expiry <= now; });
    this->notes[{ pool, version }] = now + noteLifetime;
}

bool SnapshotChooser::isNoted(const PoolId &pool, SnapshotVersion version) const
{
    const auto note = this->notes.find({ pool, version });
    return note != this->notes.end() && this->clock.now() < note->second;
}

}

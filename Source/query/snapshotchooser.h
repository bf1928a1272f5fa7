#pragma once

#include "catalogue/catalogue.h"
#include "core/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace Lycheewall
{

/**
 * Picks the snapshot of a query and remembers for a short time which snapshots some shard could not serve.
 * Shared by all queries of a daemon. Thread safety: any thread.
 */
class SnapshotChooser
{
public:
    /// How long a snapshot is avoided. Endpoints load a new version within seconds, so a note must not outlive that.
    static constexpr Duration noteLifetime = Milliseconds(500);

    /// @p clock outlives the chooser.
    explicit SnapshotChooser(const Clock &clock);

    /// Newest listed snapshot that is not noted; the newest listed one when all are noted, because partial coverage is
    /// worth more than none. Empty only when the pool lists no snapshot.
    std::optional<SnapshotVersion> choose(const Pool &pool) const;

    /// Newest listed snapshot that is neither noted nor in @p tried.
    std::optional<SnapshotVersion> chooseOther(const Pool &pool, const std::set<SnapshotVersion> &tried) const;

    void noteUnavailable(const PoolId &pool, SnapshotVersion version);

private:
    bool isNoted(const PoolId &pool, SnapshotVersion version) const;

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<std::pair<PoolId, SnapshotVersion>, TimePoint> notes;
};

}

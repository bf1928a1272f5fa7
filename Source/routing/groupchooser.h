#pragma once

#include "catalogue/catalogue.h"
#include "core/random.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace Lycheewall
{

/**
 * Picks the group for a request to a single server.
 * Thread safety: any thread.
 */
class GroupChooser
{
public:
    explicit GroupChooser(Random &randomSource);

    /// With a key, always the same group of a pool; without one, the less used of two random groups outside @p tried.
    /// Empty when every group was tried.
    std::optional<GroupId>
    choose(const Pool &pool, const std::optional<std::string> &key, const std::set<GroupId> &tried);

    /// Counts a request as in flight, until finished().
    void started(const PoolId &pool, const GroupId &group);
    void finished(const PoolId &pool, const GroupId &group);

private:
    Random &random;
    std::mutex mutex;
    std::map<std::pair<PoolId, GroupId>, int> inFlight;
};

}

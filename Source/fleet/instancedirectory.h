#pragma once

#include "fleet/activeinstanceset.h"

namespace Lycheewall
{

/**
 * Selects the instances that callers connect to: the active instances of the caller's zone, or those of all zones if
 * that zone has none.
 * Thread safety: none; used on the thread of the request loop.
 */
class InstanceDirectory
{
public:
    explicit InstanceDirectory(ActiveInstanceSet &activeInstances);

    /// Returns the caller addresses for a caller in @p zone. Empty if no instance is ready.
    std::vector<std::string> addresses(const ZoneId &zone);

private:
    ActiveInstanceSet &activeInstances;
};

}

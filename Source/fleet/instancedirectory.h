#pragma once

#include "fleet/activeinstanceset.h"

namespace Lycheewall
{

/**
 * Chooses the instances that callers connect to: those that carry the work of their zone, or all ready ones if none is
 * ready there.
 * Thread safety: none; used on the thread of the request loop.
 */
class InstanceDirectory
{
public:
    explicit InstanceDirectory(ActiveInstanceSet &activeInstances);

    /// Addresses for a caller in @p zone; empty when no instance is ready.
    std::vector<std::string> addresses(const ZoneId &zone);

private:
    ActiveInstanceSet &activeInstances;
};

}

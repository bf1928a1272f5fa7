#pragma once

#include "fleet/servingset.h"

namespace Lycheewall
{

/**
 * Chooses the instances that callers connect to: those that carry the work of their zone, or all ready ones if none is
 * ready there.
 * Thread safety: none; used on the thread of the request loop.
 */
class CallerDirectory
{
public:
    explicit CallerDirectory(ServingSet &serving);

    /// Addresses for a caller in @p zone; empty when no instance is ready.
    std::vector<std::string> addresses(const ZoneId &zone);

private:
    ServingSet &serving;
};

}

#pragma once

#include "fleet/membertable.h"

namespace Lycheewall
{

/// This instance as callers see it.
struct OwnAddress
{
    std::string address;
    ZoneId zone;
    bool ready = false;
};

/**
 * Chooses the instances that callers connect to: the ready ones of their zone, or all ready ones if it has none.
 * Thread safety: none; used on the thread of the request loop.
 */
class CallerDirectory
{
public:
    explicit CallerDirectory(const MemberTable &members);

    /// Addresses for a caller in @p zone; empty when no instance is ready.
    std::vector<std::string> addresses(const OwnAddress &own, const ZoneId &zone) const;

private:
    const MemberTable &members;
};

}

#pragma once

#include "fleet/membertable.h"
#include "forwarding/endpointset.h"

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
 * Chooses the instances that callers connect to: ready ones, near to the caller and to the endpoints of the host that
 * is asked for. A caller in a zone without such endpoints connects to a zone that has them, because one request and one
 * merged answer cross the zones more cheaply than all parts.
 * Thread safety: none; used on the thread of the request loop.
 */
class CallerDirectory
{
public:
    CallerDirectory(const MemberTable &members, const EndpointSet &endpoints);

    /// Addresses for a caller in @p zone; empty when no instance is ready. @p table may be null.
    std::vector<std::string>
    addresses(const OwnAddress &own, const RouteTable *table, const std::string &host, const ZoneId &zone) const;

private:
    std::set<ZoneId> zonesOfHost(const RouteTable &table, const std::string &host) const;

    const MemberTable &members;
    const EndpointSet &endpoints;
};

}

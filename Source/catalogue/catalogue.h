#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "core/strongid.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lycheewall
{

/// Order in which queued work runs: interactive first.
enum class WorkClass { Interactive, Editing, Archive };

/// What one server of a pool bears.
struct EndpointLimits
{
    /// Requests that run at the same time.
    int slots = 1;
    /// Connections that the server accepts from everybody together.
    int connections = 1;
    /// Requests at the same time that a server bears right after its start.
    int coldSlots = 1;
    /// Usual time of one request.
    Milliseconds service { 10 };
};

/// One back-end server process.
struct Endpoint
{
    EndpointId id;
    std::string host;
    std::uint16_t port = 0;
    ZoneId zone;
    /// A leaving endpoint gets no new work.
    bool leaving = false;
};

/// Replicas of one shard, or a cut of interchangeable servers of a pool without shards.
struct Group
{
    GroupId id;
    std::vector<Endpoint> endpoints;
};

/// The shards of one index version and the documents in each.
struct Snapshot
{
    SnapshotVersion version;
    std::map<GroupId, std::uint64_t> documents;
};

struct Pool
{
    PoolId id;
    std::string owner;
    WorkClass workClass = WorkClass::Interactive;
    EndpointLimits limits;
    /// True when a query goes to every group of a snapshot; false when a request goes to one server.
    bool sharded = false;
    /// True when no key is needed.
    bool open = false;
    std::vector<Group> groups;
    /// Newest last; empty for pools that are not sharded.
    std::vector<Snapshot> snapshots;

    const Group *findGroup(const GroupId &group) const;
    const Snapshot *findSnapshot(SnapshotVersion version) const;
};

using KeyHash = std::array<unsigned char, 32>;

struct Organisation
{
    OrganisationId id;
    std::string owner;
    WorkClass workClass = WorkClass::Interactive;
    /// Requests per second over the whole fleet.
    double rate = 0;
    /// Requests at once over the whole fleet.
    double burst = 0;
    std::set<PoolId> pools;
    /// SHA-256 of each granted key.
    std::vector<KeyHash> keys;
};

/// One thing that is wrong with a catalogue or a settings file.
struct CatalogueProblem
{
    std::error_code code;
    std::string file;
    int line = 0;
    std::string item;
    std::string expected;

    /// "songlam.yaml:14: organisation "x": burst must be at least 1, got 0"
    std::string message() const;
};

/**
 * What operators publish: pools, endpoints, zones, organisations, drains. Immutable once made.
 * Thread safety: may be read from any thread.
 */
class Catalogue
{
public:
    /// Parses and checks YAML text as a whole. @p file is used in problems only. Never returns an empty problem list.
    static ResultOr<Catalogue, std::vector<CatalogueProblem>> parse(const std::string &text, const std::string &file);

    const std::string &deployment() const;
    const std::map<PoolId, Pool> &pools() const;
    const std::map<OrganisationId, Organisation> &organisations() const;
    const std::set<ZoneId> &zones() const;
    const std::set<ZoneId> &drainedZones() const;

    const Pool *findPool(const PoolId &pool) const;
    const Organisation *findOrganisation(const OrganisationId &organisation) const;
    bool isDrained(const ZoneId &zone) const;

private:
    Catalogue() = default;
    friend class CatalogueParser;

    std::string deploymentName;
    std::map<PoolId, Pool> poolById;
    std::map<OrganisationId, Organisation> organisationById;
    std::set<ZoneId> allZones;
    std::set<ZoneId> drained;
};

}

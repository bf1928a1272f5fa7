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

/// Priority class of queued requests, highest first.
enum class WorkClass { Interactive, Editing, Archive };

/// Limits and nominal service time that hold for each endpoint of a pool.
struct EndpointLimits
{
    /// Maximum number of concurrent requests.
    int slots = 1;
    /// Maximum number of connections that the endpoint accepts, over all clients.
    int connections = 1;
    /// Maximum number of concurrent requests right after a start of the endpoint, while it is cold.
    int coldSlots = 1;
    /// Nominal service time of one request, as the catalogue declares it in "service-ms".
    Milliseconds nominalServiceTime { 10 };
};

/// One back-end server process.
struct Endpoint
{
    EndpointId id;
    std::string host;
    std::uint16_t port = 0;
    ZoneId zone;
    /// True if the endpoint gets no new requests. The catalogue calls this state "leaving".
    bool draining = false;
};

/// The replicas of one shard, or some of the interchangeable endpoints of a pool without shards.
struct Group
{
    GroupId id;
    std::vector<Endpoint> endpoints;
};

/// One version of a sharded index, with the number of documents in each shard.
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
    /// True if a query is sent to every group of a snapshot; false if a request is sent to one endpoint.
    bool sharded = false;
    /// True if callers need no API key. The catalogue key is "open".
    bool isPublic = false;
    std::vector<Group> groups;
    /// Oldest first; empty if the pool is not sharded.
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
    /// Sustained requests per second over the whole fleet.
    double rate = 0;
    /// Token bucket capacity in requests, over the whole fleet.
    double burst = 0;
    std::set<PoolId> pools;
    /// SHA-256 hash of each API key of the organisation.
    std::vector<KeyHash> keys;
};

/// One validation error in a catalogue, an instance list or a settings file.
struct CatalogueProblem
{
    std::error_code code;
    std::string file;
    int line = 0;
    std::string item;
    std::string expected;

    /// One line such as `songlam.yaml:14: organisation "x": burst must be at least 1, got 0`.
    std::string message() const;
};

/**
 * The configuration that operators publish: zones, drained zones, pools with their endpoints, and organisations.
 * Thread safety: immutable, so it can be read from any thread.
 */
class Catalogue
{
public:
    /// Parses and validates YAML text. @p file is used in problems only. On failure, returns all problems, at least
    /// one.
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

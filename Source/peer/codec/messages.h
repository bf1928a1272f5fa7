#pragma once

#include "core/clock.h"
#include "core/refusal.h"
#include "core/strongid.h"
#include "scheduling/endpointtransport.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Lycheewall
{

/// Version of the protocol between daemons; a link with another version is refused in the handshake.
constexpr std::uint32_t peerProtocolVersion = 1;

/// State of a daemon as it says of itself.
enum class InstanceState { Starting, Ready, Leaving };

struct Hello
{
    std::uint32_t protocol = peerProtocolVersion;
    InstanceId instance;
    Incarnation incarnation;
    ZoneId zone;
    std::string callerAddress;
};

struct Ping
{
    std::uint64_t sequence = 0;
};

struct Pong
{
    std::uint64_t sequence = 0;
};

/// Sent to each peer every 500 ms and at once when the state changes.
struct Gossip
{
    InstanceState state = InstanceState::Starting;
    Incarnation incarnation;
    ValueVersion catalogueVersion;
    ValueVersion listVersion;
    std::string callerAddress;
    /// Leases that the sender holds.
    std::vector<ResourceId> held;
    /// Endpoints that the sender runs below their full concurrency because they are cold.
    std::vector<EndpointId> cold;
    /// Age of the sender's last successful platform read; negative when there was none.
    std::int64_t platformAgeMs = -1;
};

struct ConfigurationRequest
{
    std::string name;
    ValueVersion have;
};

struct ConfigurationValue
{
    std::string name;
    ValueVersion version;
    std::string text;
};

struct LeaseRequest
{
    /// The upper 32 bits are random for each run of the sender, the lower ones count its requests.
    std::uint64_t id = 0;
    std::vector<ResourceId> resources;
    ValueVersion listVersion;
};

struct LeaseRefusal
{
    ResourceId resource;
    /// Empty when the voter is silent rather than bound to another holder.
    InstanceId holder;
    std::int64_t remainingMs = 0;
};

struct LeaseReply
{
    std::uint64_t id = 0;
    std::vector<ResourceId> granted;
    std::vector<LeaseRefusal> refused;
    ValueVersion listVersion;
    ValueVersion catalogueVersion;
};

struct LeaseRelease
{
    /// Id of the newest LeaseRequest that the sender made for these resources. A release does not end a grant that
    /// answers a later request. 0, as sent by a peer without this field, releases nothing.
    std::uint64_t id = 0;
    std::vector<ResourceId> resources;
};

struct TokenRequest
{
    std::uint64_t id = 0;
    OrganisationId organisation;
    std::uint32_t wanted = 0;
    /// Unused tokens of earlier batches that the sender can no longer use.
    std::uint32_t returned = 0;
    /// Id of the TokenRequest whose batch the returned tokens are from. The owner credits them only when its present
    /// bucket granted that batch. 0, as sent by a peer without this field, credits nothing.
    std::uint64_t returnedBatch = 0;
};

struct TokenReply
{
    std::uint64_t id = 0;
    OrganisationId organisation;
    std::uint32_t granted = 0;
    /// How long the batch may be used, counted from the sending of the request. 0: as the receiver's catalogue says.
    std::int64_t validMs = 0;
    std::int64_t retryAfterMs = 0;
    /// None, RateExceeded, NotOwner, NoOwner or StaleConfiguration.
    Refusal reason = Refusal::None;
    /// With NotOwner: the holder, when the sender knows it.
    InstanceId holder;
};

/// Work for groups that the receiver owns, one part for each group.
struct SubRequest
{
    std::uint64_t id = 0;
    RequestId request;
    OrganisationId organisation;
    PoolId pool;
    SnapshotVersion snapshot;
    std::vector<GroupId> parts;
    bool idempotent = true;
    std::int64_t remainingMs = 0;
    std::string body;
};

struct SubAnswer
{
    std::uint64_t id = 0;
    GroupId part;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    Refusal reason = Refusal::None;
    SnapshotVersion snapshot;
    std::uint64_t documents = 0;
    std::string body;
    EndpointId endpoint;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    std::int64_t queuedUs = 0;
    std::int64_t serviceUs = 0;
    /// With NotOwner: the holder, when the sender knows it.
    InstanceId holder;
    /// Entries in the group's queue when the part ended.
    std::uint32_t queueLength = 0;
};

struct SubCancel
{
    std::uint64_t id = 0;
    /// The parts to cancel; empty means all parts of the request.
    std::vector<GroupId> parts {};
};

using PeerMessage = std::variant<Hello,
                                 Ping,
                                 Pong,
                                 Gossip,
                                 ConfigurationRequest,
                                 ConfigurationValue,
                                 LeaseRequest,
                                 LeaseReply,
                                 LeaseRelease,
                                 TokenRequest,
                                 TokenReply,
                                 SubRequest,
                                 SubAnswer,
                                 SubCancel>;

}

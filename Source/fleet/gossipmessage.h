#pragma once

#include "core/result.h"
#include "feed/feedposition.h"
#include "forwarding/endpointset.h"
#include "forwarding/organisationquota.h"

#include <string>
#include <vector>

namespace Lycheewall
{

enum class MemberState { Starting, Ready, ShuttingDown };

struct PiggybackedMessage;

/// CPU capacity and usage of an instance, in cores.
struct CpuUsage
{
    /// CPU capacity that the instance may use.
    double availableCores = 1;
    /// Moving average of the usage that requests cause, without the cost of control.
    double requestCores = 0;
};

/// An instance has noticed that the store has come back from an older copy.
struct ReportedRestoration
{
    /// The era that the copy began.
    StoreEra era;
    /// Time for which changes that the store has lost may still be missing.
    std::int64_t rewriteRemainingMs = 0;
};

/// State that an instance reports about itself, and from time to time also about other instances.
struct GossipMessage
{
    InstanceId instance;
    /// Identifies the process: differs after each restart of the instance. A random number.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Starting;
    ZoneId zone;
    /// Address that callers connect to.
    std::string callerAddress;
    /// Address to which other instances send datagrams and where they read the feed.
    std::string peerAddress;
    /// Age of the instance's feed data; negative if it has none.
    std::int64_t feedAgeMs = -1;
    bool readsStore = false;
    /// The latest restoration of the store that the instance has noticed itself, while its time is not over.
    std::optional<ReportedRestoration> restoration;
    CpuUsage cpuUsage;
    /// Requests per second of the instance's callers; std::nullopt if it does not report them.
    std::optional<double> requestsPerSecond;
    /// Requests a response that lists known peer addresses.
    bool requestsAddresses = false;
    /// Requests a response.
    bool requestsReply = false;
    std::vector<OrganisationUsage> usage;
    /// Endpoints that the instance itself has observed to be slow within the last second.
    std::vector<SlowEndpoint> slowEndpoints;
    /// Peer addresses of other live instances.
    std::vector<std::string> knownAddresses;
    /// Messages of other instances. Only used in fleets that are too large for a full mesh.
    std::vector<PiggybackedMessage> piggybacked;
};

/// A message of another instance with its age: an upper bound of the time since it was sent.
struct PiggybackedMessage
{
    std::int64_t ageMs = 0;
    GossipMessage message;
};

enum class GossipMessageError { NotCbor = 1, WrongVersion, FieldMissing, ValueOutOfRange };
std::error_code make_error_code(GossipMessageError error);

/// Encodes a message as CBOR. Thread safety: any thread.
std::string encodeGossipMessage(const GossipMessage &message);

/// Decodes a message and ignores unknown fields. Errors: GossipMessageError. Thread safety: any thread.
Result<GossipMessage> decodeGossipMessage(const std::string &bytes);

}

namespace std
{
template<> struct is_error_code_enum<Lycheewall::GossipMessageError> : true_type
{
};
}

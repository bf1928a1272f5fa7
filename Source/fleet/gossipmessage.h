#pragma once

#include "core/result.h"
#include "forwarding/endpointset.h"
#include "forwarding/organisationquota.h"

#include <string>
#include <vector>

namespace Lycheewall
{

enum class MemberState { Starting, Ready, ShuttingDown };

struct PiggybackedMessage;

/// Processor time of an instance, in cores.
struct CpuUsage
{
    /// What it may use.
    double availableCores = 1;
    /// What it has used lately.
    double usedCores = 0;
};

/// What an instance says of itself and, now and then, of the others that it knows.
struct GossipMessage
{
    InstanceId instance;
    /// Moment of the process's start in nanoseconds by its own clock; differs between two runs.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Starting;
    ZoneId zone;
    /// Where callers connect.
    std::string callerAddress;
    /// Where other instances send datagrams and read the feed.
    std::string peerAddress;
    /// Age of its knowledge of the platform's data; negative when it has none.
    std::int64_t feedAgeMs = -1;
    bool readsStore = false;
    CpuUsage cpuUsage;
    /// Asks for an answer with all known addresses.
    bool requestsAddresses = false;
    /// Asks for an answer.
    bool requestsReply = false;
    std::vector<OrganisationUsage> usage;
    /// Endpoints that it has found slow within the last second.
    std::vector<SlowEndpoint> slowEndpoints;
    /// Peer addresses of other instances.
    std::vector<std::string> knownAddresses;
    /// What other instances have said, in fleets too large for each instance to tell all others.
    std::vector<PiggybackedMessage> piggybacked;
};

/// A message of another instance and how long ago it was sent, at most.
struct PiggybackedMessage
{
    std::int64_t ageMs = 0;
    GossipMessage message;
};

enum class GossipMessageError { NotCbor = 1, WrongVersion, FieldMissing };
std::error_code make_error_code(GossipMessageError error);

/// CBOR form of a message. Thread safety: any thread.
std::string encodeGossipMessage(const GossipMessage &message);

/// Unknown fields are ignored. Errors: GossipMessageError. Thread safety: any thread.
Result<GossipMessage> decodeGossipMessage(const std::string &bytes);

}

namespace std
{
template<> struct is_error_code_enum<Lycheewall::GossipMessageError> : true_type
{
};
}

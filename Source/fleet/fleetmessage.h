#pragma once

#include "core/result.h"
#include "forwarding/endpointset.h"
#include "forwarding/organisationquota.h"

#include <string>
#include <vector>

namespace Lycheewall
{

enum class MemberState { Starting, Ready, Leaving };

struct RelayedMessage;

/// Processor time of an instance, in cores.
struct ProcessorShare
{
    /// What it may use.
    double available = 1;
    /// What it has used lately.
    double used = 0;
};

/// What an instance says of itself and, now and then, of the others that it knows.
struct FleetMessage
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
    ProcessorShare processor;
    /// Asks for an answer with all known addresses.
    bool joining = false;
    /// Asks for an answer.
    bool asking = false;
    std::vector<OrganisationUsage> use;
    /// Endpoints that it has found slow within the last second.
    std::vector<SlowEndpoint> slow;
    /// Peer addresses of other instances.
    std::vector<std::string> known;
    /// What other instances have said, in fleets too large for each instance to tell all others.
    std::vector<RelayedMessage> relayed;
};

/// A message of another instance and how long ago it was sent, at most.
struct RelayedMessage
{
    std::int64_t ageMs = 0;
    FleetMessage message;
};

enum class FleetMessageError { NotCbor = 1, WrongVersion, FieldMissing };
std::error_code make_error_code(FleetMessageError error);

/// CBOR form of a message. Thread safety: any thread.
std::string encodeFleetMessage(const FleetMessage &message);

/// Unknown fields are ignored. Errors: FleetMessageError. Thread safety: any thread.
Result<FleetMessage> decodeFleetMessage(const std::string &bytes);

}

namespace std
{
template<> struct is_error_code_enum<Lycheewall::FleetMessageError> : true_type
{
};
}

#pragma once

#include <array>
#include <string_view>
#include <system_error>

namespace Lycheewall
{

/// Why a request or a shard request was refused or failed. Each reason has a counter and a fixed code.
enum class Refusal {
    None,
    BadRequest,
    BodyTooLarge,
    HeaderTooLarge,
    RequestTimeout,
    KeyMissing,
    KeyUnknown,
    PoolForbidden,
    UnknownPool,
    UnknownRoute,
    MethodNotAllowed,
    TooManyConnections,
    RateExceeded,
    NoOwner,
    NotOwner,
    StaleConfiguration,
    NotReady,
    QueueFull,
    DeadlineUnreachable,
    DeadlineExceeded,
    EndpointUnavailable,
    EndpointShed,
    EndpointThrottled,
    EndpointDraining,
    EndpointCold,
    EndpointConnectionCap,
    ZoneDrained,
    SnapshotUnavailable,
    SnapshotMismatch,
    PeerUnreachable,
    PeerQueueFull,
    Cancelled,
    ConnectionLost,
    OutcomeUnknown,
    ShuttingDown,
    MemoryExceeded,
    Count
};

/// Number of reasons, including None.
constexpr std::size_t refusalCount = static_cast<std::size_t>(Refusal::Count);

/// The code of a reason in replies and counter labels, for example "rate-exceeded".
std::string_view refusalCode(Refusal refusal);

/// The reason with this code, or Refusal::None if there is none.
Refusal refusalFromCode(std::string_view code);

/// The category "lycheewall.refusal", whose messages are the codes.
const std::error_category &refusalCategory();
std::error_code make_error_code(Refusal refusal);

}

template<> struct std::is_error_code_enum<Lycheewall::Refusal> : std::true_type
{
};

#pragma once

#include <array>
#include <string_view>
#include <system_error>

namespace Lycheewall
{

/// Why a request, or a part of one, was not answered. Each has a counter and a fixed code.
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
    Count
};

/// Number of refusal reasons, None included.
constexpr std::size_t refusalCount = static_cast<std::size_t>(Refusal::Count);

/// The code that callers and counters see, for example "rate-exceeded".
std::string_view refusalCode(Refusal refusal);

/// The refusal with this code, or Refusal::None when there is no such code.
Refusal refusalFromCode(std::string_view code);

/// Category "lycheewall.refusal".
const std::error_category &refusalCategory();
std::error_code make_error_code(Refusal refusal);

}

template<> struct std::is_error_code_enum<Lycheewall::Refusal> : std::true_type
{
};

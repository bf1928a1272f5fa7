#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/// Allowance for the round trip between the caller and this instance, including the set-up of a new connection. A reply
/// sent this long before the latency objective reaches the caller on time.
constexpr Duration callerRoundTrip = Milliseconds(13);

/// Allowance for the round trip between two availability zones of a region, including reads and writes.
constexpr Duration interZoneRoundTrip = Milliseconds(3);

/// The reply is sent this long before the deadline, so that it reaches the caller on time.
constexpr Duration deadlineMargin = Milliseconds(5);

}

#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/// Time for the way between the caller and this instance, both ways, and for the set-up of a new connection: answers
/// that leave so much before the objective arrive in time.
constexpr Duration callerRoundTrip = Milliseconds(13);

/// Time for the way between two availability zones of a region, both ways, and for reading and writing.
constexpr Duration interZoneRoundTrip = Milliseconds(3);

/// The final answer leaves this much before the deadline, so that it arrives in time.
constexpr Duration deadlineMargin = Milliseconds(5);

}

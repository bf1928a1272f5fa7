#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/// Reads CLOCK_BOOTTIME, which includes the time while the host is suspended. Thread safety: any thread.
class BootTimeClock : public Clock
{
public:
    TimePoint now() const override;
};

}

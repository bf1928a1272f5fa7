#pragma once

#include "core/clock.h"

namespace Lycheewall
{

/// Reads CLOCK_BOOTTIME, which counts through suspension. Thread safety: any thread.
class BootTimeClock : public Clock
{
public:
    TimePoint now() const override;
};

}

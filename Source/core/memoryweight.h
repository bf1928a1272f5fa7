#pragma once

#include "core/clock.h"

#include <cstddef>

namespace Lycheewall
{

/// Decides who gives way when memory is short, the greatest weight first: the product of the bytes that are held and
/// the time for which they have been held, in byte milliseconds. What has just been received counts by its size. Thread
/// safety: any thread.
inline double memoryWeight(std::size_t bytes, Duration heldFor)
{
    return static_cast<double>(bytes) * (fractionalMilliseconds(heldFor) + 1);
}

}

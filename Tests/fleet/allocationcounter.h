#pragma once

#include <cstddef>

namespace Lycheewall
{

/// Counts the memory that the test program allocates with new.
class AllocationCounter
{
public:
    /// Bytes allocated since the program started, including those that were freed again.
    static std::size_t bytes();
};

}

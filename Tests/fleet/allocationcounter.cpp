#include "fleet/allocationcounter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::size_t> allocatedBytes { 0 };

void *allocate(std::size_t size)
{
    allocatedBytes += size;
    return std::malloc(size > 0 ? size : 1);
}

}

void *operator new(std::size_t size, const std::nothrow_t & /*tag*/) noexcept
{
    return allocate(size);
}

void *operator new(std::size_t size)
{
    void *const memory = allocate(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace Lycheewall
{

std::size_t AllocationCounter::bytes()
{
    return allocatedBytes;
}

}

#pragma once

#include <cstdint>
#include <mutex>
#include <random>

namespace Lycheewall
{

/// Pseudo-random number generator with a given seed. Thread safety: any thread.
class Random
{
public:
    explicit Random(std::uint64_t seed);

    /// Uniform in [0, bound). Precondition: bound > 0.
    std::uint64_t uniformInteger(std::uint64_t bound);

    /// Uniform in [0, 1).
    double uniformReal();

    /// 64 random bits.
    std::uint64_t bits();

private:
    std::mutex mutex;
    std::mt19937_64 engine;
};

}

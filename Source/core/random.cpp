#include "core/random.h"

namespace Lycheewall
{

Random::Random(std::uint64_t seed)
    : engine(seed)
{
}

std::uint64_t Random::uniformInteger(std::uint64_t bound)
{
    const std::lock_guard lock(this->mutex);
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(this->engine);
}

double Random::uniformReal()
{
    const std::lock_guard lock(this->mutex);
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
}

std::uint64_t Random::bits()
{
    const std::lock_guard lock(this->mutex);
    return this->engine();
}

}

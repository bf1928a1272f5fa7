#pragma once

#include "process.h"

#include <cstdint>
#include <random>

namespace Soak
{

/// The fault proxy between the instances and the endpoints and the store, as a process of its own. Thread safety: any
/// thread.
class SoakProxy
{
public:
    /// Starts the proxy for @p targets ("ip:port"). Throws if it does not become ready.
    SoakProxy(const std::vector<std::string> &targets, const std::string &folder);

    /// The address to which the instances connect instead of the target with this index.
    std::string addressOf(std::size_t target) const;

    /// Disturbs one or several routes for some time, as @p random selects: delays, closes, silences or blocks their
    /// connections, or drops the data of one direction.
    void disturb(std::mt19937 &random);

    /// Lets no data through to the target with this index, or lets them through again.
    void silence(std::size_t target);
    void heal(std::size_t target);

private:
    void command(const std::string &text) const;

    Integration::Process process;
    std::uint16_t controlPort = 0;
    std::vector<std::string> ports;
};

}

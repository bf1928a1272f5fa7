#include "membership/rendezvoushash.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

std::uint64_t fnv1a(std::uint64_t hash, std::string_view bytes)
{
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnvPrime;
    }
    return hash;
}

/// The 64-bit finalizer of MurmurHash3. FNV-1a alone leaves the high bits of similar ids correlated.
std::uint64_t mixBits(std::uint64_t hash)
{
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    return hash;
}

struct Weighted
{
    std::uint64_t weight;
    const InstanceId *instance;
};

bool heavier(const Weighted &left, const Weighted &right)
{
    if (left.weight != right.weight) {
        return left.weight > right.weight;
    }
    return *left.instance < *right.instance;
}

}

std::uint64_t RendezvousHash::weight(std::string_view key, std::string_view instance)
{
    const std::uint64_t keyHash = fnv1a(fnvOffset, key);
    const std::uint64_t separated = fnv1a(keyHash, std::string_view("\0", 1));
    return mixBits(fnv1a(separated, instance));
}

std::vector<InstanceId> RendezvousHash::rank(const std::string &key, const std::vector<InstanceId> &instances)
{
    return top(key, instances, instances.size());
}

std::vector<InstanceId>
RendezvousHash::top(const std::string &key, const std::vector<InstanceId> &instances, std::size_t count)
{
    std::vector<Weighted> weighted;
    weighted.reserve(instances.size());
    for (const InstanceId &instance : instances) {
        weighted.push_back({ weight(key, instance.value()), &instance });
    }
    const std::size_t kept = std::min(count, weighted.size());
    const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(weighted.begin(), middle, weighted.end(), heavier);
    std::vector<InstanceId> ranked;
    ranked.reserve(kept);
    for (auto entry = weighted.begin(); entry != middle; ++entry) {
        ranked.push_back(*entry->instance);
    }
    return ranked;
}

}

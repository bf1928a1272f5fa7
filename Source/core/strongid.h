#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Lycheewall
{

/**
 * An identifier that does not convert to identifiers of another kind.
 * Thread safety: a value type; distinct objects may be used from distinct threads.
 */
template<typename Tag, typename Value = std::string> class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(Value value)
        : raw(std::move(value))
    {
    }

    const Value &value() const
    {
        return this->raw;
    }

    friend bool operator==(const StrongId &left, const StrongId &right)
    {
        return left.raw == right.raw;
    }
    friend bool operator!=(const StrongId &left, const StrongId &right)
    {
        return !(left == right);
    }
    friend bool operator<(const StrongId &left, const StrongId &right)
    {
        return left.raw < right.raw;
    }
    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.raw;
    }

private:
    Value raw {};
};

using InstanceId = StrongId<struct InstanceTag>;
using ZoneId = StrongId<struct ZoneTag>;
using OrganisationId = StrongId<struct OrganisationTag>;
using EndpointId = StrongId<struct EndpointTag>;
using PoolId = StrongId<struct PoolTag>;
/// Name of a group, unique within its pool.
using GroupId = StrongId<struct GroupTag>;
/// Resource that a lease grants ownership of: "group/<pool>/<group>" or "organisation/<id>".
using ResourceId = StrongId<struct ResourceTag>;
using RequestId = StrongId<struct RequestTag>;
/// Random value drawn at process start; distinguishes two runs of one instance or endpoint.
using Incarnation = StrongId<struct IncarnationTag>;
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// Version of an index snapshot. 0 means none.
using SnapshotVersion = StrongId<struct SnapshotTag, std::uint64_t>;
/// Version of a value published by the platform. 0 means none.
using ValueVersion = StrongId<struct ValueVersionTag, std::uint64_t>;

}

namespace std
{
template<typename Tag, typename Value> struct hash<Lycheewall::StrongId<Tag, Value>>
{
    size_t operator()(const Lycheewall::StrongId<Tag, Value> &id) const
    {
        return hash<Value>()(id.value());
    }
};
}

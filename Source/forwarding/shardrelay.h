#pragma once

#include "forwarding/messages.h"

#include <functional>
#include <memory>

namespace Lycheewall
{

struct AdmittedRequest;

/// A response of the relaying instance: the merged responses of some of the requested shards.
struct RelayResponse
{
    struct Shard
    {
        ServiceId service;
        std::string signature;
    };
    std::vector<Shard> shards;
    /// The greatest records of these shards, in descending order.
    std::string records;
    /// True if no further response follows. Shards that no response has covered are missing.
    bool isFinal = false;
    /// True if the relaying instance has refused the request and has not sent anything to an endpoint.
    bool isRefused = false;
};

/// An instance that can relay shard requests, and the services that it can relay them to.
struct RelayTarget
{
    InstanceId instance;
    std::string peerAddress;
    ZoneId zone;
    std::vector<ServiceId> services;
};

/// Handle of a relay request. Destroying it cancels the request: its callback is not called any more.
class PendingRelay
{
public:
    virtual ~PendingRelay() = default;
};

/// An availability zone whose instances can relay shard requests, and the services that they can relay them to.
struct RelayZone
{
    ZoneId zone;
    /// Number of instances of which one is selected at random; at least 1.
    std::size_t instances = 0;
    std::vector<ServiceId> services;
};

/**
 * Relays shard requests through an instance of another availability zone, for shards without an endpoint in this one.
 * One request and one merged response cross the zones instead of a request and a response for each shard.
 * Thread safety: none; used on the thread of the request loop.
 */
class ShardRelay
{
public:
    using ResponseCallback = std::function<void(const RelayResponse &)>;

    virtual ~ShardRelay() = default;

    /// The zone that can reach the most of @p services; std::nullopt if none can reach two or more.
    virtual std::optional<RelayZone> findZone(const std::vector<ServiceId> &services) const = 0;

    /// An instance of the zone that findZone() returns, selected at random; std::nullopt if there is none.
    virtual std::optional<RelayTarget> selectTarget(const std::vector<ServiceId> &services) = 0;

    /// Sends a relay request to @p target. @p callback is called for each response, never from within send(), and not
    /// at all if the instance has failed; a timeout is up to the caller. Returns nullptr if the request cannot be sent.
    virtual std::unique_ptr<PendingRelay>
    send(const RelayTarget &target, const AdmittedRequest &request, ResponseCallback callback) = 0;

    /// Reports that @p instance has not responded on time. It is not selected for some time.
    virtual void handleTimeout(const InstanceId &instance) = 0;
};

}

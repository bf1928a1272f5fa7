#pragma once

#include "forwarding/messages.h"

#include <functional>
#include <memory>

namespace Lycheewall
{

struct AdmittedRequest;

/// What an instance near the endpoints has collected of a query.
struct RelayResponse
{
    struct Shard
    {
        ServiceId service;
        std::string signature;
    };
    std::vector<Shard> shards;
    /// The greatest records of these parts, greatest first.
    std::string records;
    /// No further answer follows; parts that did not come will not come.
    bool isFinal = false;
    /// The other instance did not ask any endpoint.
    bool isRefused = false;
};

/// An instance that can collect parts, and which ones.
struct RelayTarget
{
    InstanceId instance;
    std::string peerAddress;
    ZoneId zone;
    std::vector<ServiceId> services;
};

/// Ends the wait for answers when it is destroyed.
class PendingRelay
{
public:
    virtual ~PendingRelay() = default;
};

/**
 * Lets an instance of another availability zone collect the parts of shards that have no endpoint in this one. One
 * question and one merged answer cross the zones instead of each part.
 * Thread safety: none; used on the thread of the request loop.
 */
class ShardRelay
{
public:
    using ResponseCallback = std::function<void(const RelayResponse &)>;

    virtual ~ShardRelay() = default;

    /// The instance that can collect most of @p services, if it can collect two or more.
    virtual std::optional<RelayTarget> selectTarget(const std::vector<ServiceId> &services) = 0;

    /// Asks @p target. @p answered is called for each answer, never from within send(); nothing comes if the instance
    /// is dead. Returns nullptr when the question cannot be sent.
    virtual std::unique_ptr<PendingRelay>
    send(const RelayTarget &target, const AdmittedRequest &request, ResponseCallback answered) = 0;

    /// The instance did not answer in time; others are chosen for a while.
    virtual void handleTimeout(const InstanceId &instance) = 0;
};

}

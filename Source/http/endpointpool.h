#pragma once

#include "core/clock.h"
#include "http/clientconnection.h"
#include "scheduling/endpointtransport.h"

#include <mutex>
#include <unordered_map>
#include <vector>

namespace Lycheewall
{

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// One attempt that runs. The fields after the callback are guarded by the mutex of its pool.
struct EndpointAttempt
{
    EndpointRequest request;
    TimePoint deadline;
    int budget = 0;
    EndpointTransport::Callback callback;
    ClientConnectionPtr connection;
    bool sent = false;
    bool cancelled = false;
};
using EndpointAttemptPtr = std::shared_ptr<EndpointAttempt>;

/// What a request may use.
enum class SlotKind {
    None,
    /// An idle connection.
    Idle,
    /// A new connection under the budget.
    Fresh,
    /// A new connection in place of an idle one that is closed first.
    Replace
};

struct ConnectionSlot
{
    SlotKind kind = SlotKind::None;
    ClientConnectionPtr connection;
    std::uint64_t generation = 0;
};

/**
 * The connections to one endpoint and the attempts that use them. A connection counts from before it is established
 * until after it is closed.
 * Thread safety: any thread; sockets are touched by the callers only.
 */
class EndpointPool
{
public:
    explicit EndpointPool(int silentAttempts);

    /// @p provenSince: a request that must not be repeated uses idle connections that answered since then.
    ConnectionSlot take(bool idempotent, int budget, TimePoint provenSince);

    /// A connection that Fresh or Replace promised is established, or was given up when @p up is false.
    void established(bool up);
    /// An idle connection turned out to be closed and is established again in the same place.
    void reconnecting();

    /// True when the connection is idle now; false when it has to be closed and then passed to removed().
    bool giveBack(const ConnectionSlot &slot, TimePoint now);
    /// A connection is closed.
    void removed();
    /// An idle connection was closed by the server. False when somebody took it meanwhile.
    bool removeIdle(const ClientConnectionPtr &connection);

    /// Takes the idle connections that were last used before @p since, for closing.
    std::vector<ClientConnectionPtr> takeIdleBefore(TimePoint since);
    /// Takes all idle connections for closing; busy ones are not given back.
    std::vector<ClientConnectionPtr> retireAll();

    /// Counts attempts in a row without an answer. True when the idle connections have to be closed.
    bool timedOut();
    void answered();

    /// Returns true when the address was another one before.
    bool setAddress(const boost::asio::ip::tcp::endpoint &newAddress);
    boost::asio::ip::tcp::endpoint address() const;
    int openConnections() const;

    void add(const EndpointAttemptPtr &attempt);
    void remove(const EndpointAttemptPtr &attempt);
    /// Sets the connection that an attempt uses from now on.
    void assign(const EndpointAttemptPtr &attempt, const ClientConnectionPtr &connection);
    /// False when the attempt was cancelled before.
    bool markSent(const EndpointAttemptPtr &attempt);
    /// Marks a running attempt as cancelled. Nothing when there is none, or when it was not sent yet.
    EndpointAttemptPtr markCancelled(AttemptId attempt);
    ClientConnectionPtr connectionOf(const EndpointAttemptPtr &attempt) const;
    bool cancelled(const EndpointAttemptPtr &attempt) const;
    std::vector<EndpointAttemptPtr> running() const;

private:
    struct Idle
    {
        ClientConnectionPtr connection;
        TimePoint answered;
    };

    const int silentAfter;
    mutable std::mutex mutex;
    boost::asio::ip::tcp::endpoint target;
    std::vector<Idle> idle;
    std::unordered_map<std::uint64_t, EndpointAttemptPtr> attempts;
    std::uint64_t generation = 0;
    int open = 0;
    int connecting = 0;
    int silent = 0;
};

}

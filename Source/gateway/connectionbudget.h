#pragma once

#include "core/clock.h"
#include "core/counters.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

namespace Lycheewall
{

/// What the machine of an instance offers, and how it is divided.
struct ConnectionLimits
{
    /// Memory of all accepted connections: what they have received, the requests being served and the responses that
    /// wait to be sent.
    std::size_t memoryBytes = 0;
    /// Memory of the incomplete responses of endpoints.
    std::size_t responseBytes = 0;
    /// Sockets: accepted connections and connections to endpoints together.
    std::size_t sockets = 0;
    /// Memory of incomplete responses and of complete ones of shards whose query waits for further shards, together.
    std::size_t allResponseBytes = 0;

    /// Divides the memory and the descriptors that one process may use. However small they are, the result allows 2 MiB
    /// of each kind of memory and 16 sockets. Thread safety: any thread.
    static ConnectionLimits ofMachine(std::size_t memoryLimitBytes, std::size_t maxDescriptors);
};

/**
 * Bounds the memory and the descriptors of the accepted connections of all listeners. When they use too much, it ends
 * the connections that hold most for the longest time. Requests that are being served are not ended, because they may
 * have run; instead, new ones are not admitted.
 * Thread safety: none; used on the thread of the request loop.
 */
class ConnectionBudget
{
public:
    enum class Resource { Memory, Descriptors };

    /// What a connection does at present.
    enum class Phase {
        /// No request has begun to arrive, or the client waits for a response that can be requested again.
        Idle,
        /// A request has been received in part.
        Receiving,
        /// A request was passed on and may run.
        Serving,
        /// A response is being sent.
        Sending,
        /// The connection is about to end; its socket is still open.
        Closing,
        /// The socket is closed; memory is held until the last event of the connection has been handled.
        Closed,
    };

    /// A connection. Precondition: removed from the budget before it is destroyed.
    class Holder
    {
    public:
        virtual ~Holder() = default;

        /// Ends the connection because of a shortage of @p resource. If descriptors are short, the socket must be
        /// closed before this method returns; otherwise a request that has been received in part may be refused.
        virtual void endForShortage(Resource resource) = 0;

    private:
        friend class ConnectionBudget;
        bool isAdded = false;
        Phase phase = Phase::Idle;
        TimePoint phaseSince;
        std::size_t heldBytes = 0;
        /// At least one response was sent completely.
        bool wasServed = false;
    };

    /// Returns the number of connections to endpoints.
    using SocketCount = std::function<std::size_t()>;

    ConnectionBudget(const Clock &clock, Counters &counters, const ConnectionLimits &limits);

    /// Takes effect at the next change of a connection.
    void setLimits(const ConnectionLimits &limits);

    /// Sets the function that counts the connections to endpoints.
    void setEndpointSockets(SocketCount count);

    /// Adds a connection, which is idle. If there are too many, ends others. Returns false, without adding @p holder,
    /// if too many remain; the caller then closes the new connection.
    bool add(Holder &holder);

    /// Removes a connection. No effect if it was not added. Uses neither the clock nor the counters, which may have
    /// been destroyed before the connection.
    void remove(Holder &holder);

    /// Sets the phase of @p holder and the memory that it holds. May end connections, including @p holder, but none
    /// that is served.
    void update(Holder &holder, Phase phase, std::size_t bytes);

    /// Changes the phase of @p holder to Serving if its request may be served with @p bytes of memory and
    /// @p endpointSockets connections to endpoints; may end other connections to make room. Otherwise returns what is
    /// short and keeps the phase and the memory of @p holder; others may have been ended nevertheless. Precondition:
    /// @p holder was added.
    std::optional<Resource> startServing(Holder &holder, std::size_t bytes, std::size_t endpointSockets);

    /// Most bytes that a request should count with, so that a single request leaves room for small ones. A request that
    /// needs more is still served if no other large one is.
    std::size_t maxRequestBytes() const;

    /// True if a connection that is served may buffer more of the requests that follow. Otherwise it reads only while
    /// its buffer is empty, to notice that the client has left.
    bool mayReadAhead() const;

    /// True if a response of @p bytes may be held in addition. May end other connections to make room. Counts what
    /// connections hold until they have ended, because many responses may arrive before that; small ones are always
    /// accepted.
    bool makeRoomForResponse(std::size_t bytes);

    /// Ends one connection or more, because no descriptor is left.
    void releaseDescriptors();

    std::size_t heldBytes() const;
    /// Number of connections whose sockets are open.
    std::size_t connectionCount() const;

private:
    using Holders = std::vector<Holder *>;

    void setBytes(Holder &holder, std::size_t bytes);
    void setPhase(Holder &holder, Phase phase);
    /// Bytes held by connections that are not about to end.
    std::size_t remainingBytes() const;
    /// Bytes to which connections are reduced when they exceed the limit.
    std::size_t reducedMemory() const;
    /// True if one more request with @p endpointSocketsNeeded connections to endpoints leaves sockets to others.
    bool hasSocketsToServe(std::size_t endpointSocketsNeeded) const;
    std::size_t endpointSocketCount() const;
    /// Most accepted connections at present; a share of the sockets is kept for connections to endpoints.
    std::size_t maxConnections() const;
    /// Bytes that connections hold which are not about to end, or the number of open sockets.
    std::size_t inUse(Resource resource) const;
    /// Ends connections until at most @p target of the resource is in use.
    void reduce(Resource resource, std::size_t target);
    /// The connections that may be ended for memory, the first one first.
    Holders orderedByMemory() const;
    /// The connections that may be ended for descriptors, the first one first.
    Holders orderedByProgress() const;
    void end(Holder &holder, Resource resource);

    const Clock &clock;
    Counters &counters;
    ConnectionLimits currentLimits;
    SocketCount endpointSockets;
    std::unordered_set<Holder *> holders;
    std::size_t totalBytes = 0;
    std::size_t endingBytes = 0;
    std::size_t servingBytes = 0;
    std::size_t servingCount = 0;
    /// Large requests in phase Serving.
    std::size_t largeServing = 0;
    std::size_t closedCount = 0;
    /// Connections are being ended at present, which updates them.
    bool reducing = false;
};

}

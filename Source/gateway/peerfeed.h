#pragma once

#include "feed/feedfreshness.h"
#include "feed/feedreplica.h"
#include "feed/feedsource.h"
#include "gateway/auxiliaryserver.h"
#include "gateway/httpclient.h"

#include "core/timerservice.h"

namespace Lycheewall
{

/**
 * Reads the feed from another instance, as CBOR over HTTP.
 * Thread safety: none; used on the thread of the request loop.
 */
class PeerFeedSource : public FeedSource
{
public:
    PeerFeedSource(boost::asio::io_context &io, const std::string &address);

    void list(const std::string &afterKey, std::function<void(Result<FeedPage>)> done) override;
    void watch(Revision after, Duration wait, std::function<void(Result<FeedBatch>)> done) override;
    void cancel() override;

private:
    HttpClient caller;
};

/**
 * Lets other instances read this one's replica. A watch is answered at once when there are changes, and otherwise when
 * some arrive, the knowledge is confirmed to be newer, or its wait ends.
 * Thread safety: none; used on the thread of the request loop.
 */
class PeerFeedServer
{
public:
    PeerFeedServer(const Clock &clock,
                   TimerService &timers,
                   const FeedReplica &replica,
                   const FeedFreshness &freshness);

    /// Handles targets that begin with "/feed/"; others get 404.
    void handle(const std::string &target, AuxiliaryServer::Respond respond);

    /// The replica or its freshness has moved: answers the watches that wait for it.
    void advanced();

private:
    struct Waiter
    {
        Revision after = 0;
        TimePoint askedAt;
        /// Freshness at the time of the question.
        std::optional<TimePoint> knownUntil;
        AuxiliaryServer::Respond respond;
        Subscription timer;
    };

    void watch(Revision after, Duration wait, AuxiliaryServer::Respond respond);
    bool isDue(const Waiter &waiter) const;
    void answer(const Waiter &waiter) const;

    const Clock &clock;
    TimerService &timers;
    const FeedReplica &replica;
    const FeedFreshness &freshness;
    std::map<std::uint64_t, Waiter> waiters;
    std::uint64_t nextWaiter = 1;
};

}

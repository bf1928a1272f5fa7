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
 * Reads the feed from another instance over HTTP, encoded as CBOR. Responses are limited in size, so that a reader that
 * is behind or has a slow link receives each of them within its timeout.
 * Thread safety: none; used on the thread of the request loop.
 */
class PeerFeedSource : public FeedSource
{
public:
    PeerFeedSource(boost::asio::io_context &io, const std::string &address);

    void list(const std::string &afterKey, std::function<void(Result<FeedPage>)> done) override;
    void watch(FeedPosition after, Duration timeout, std::function<void(Result<FeedBatch>)> done) override;
    void cancelUnanswered() override;

private:
    HttpClient client;
};

/**
 * Serves this instance's feed replica to other instances. A watch is a long poll: the server responds at once if there
 * are changes, and otherwise when changes arrive, the replica is confirmed to be fresher, or the requested wait is
 * over.
 * Thread safety: none; used on the thread of the request loop.
 */
class PeerFeedServer
{
public:
    PeerFeedServer(const Clock &clock,
                   TimerService &timers,
                   const FeedReplica &replica,
                   const FeedFreshness &freshness);

    /// Handles "/feed/list" and "/feed/watch". Other targets get 404, and a watch of a position that the history does
    /// not cover gets 410. All get 503 while the replica is empty, and a watch of a newer era than the replica's too.
    void handle(const std::string &target, AuxiliaryServer::Respond respond);

    /// Must be called after the replica or its freshness has changed; responds to the watches that this completes.
    void replicaUpdated();

private:
    /// A watch that has no response yet.
    struct PendingWatch
    {
        FeedPosition after;
        TimePoint receivedAt;
        /// FeedFreshness::confirmedUntil() when the request arrived.
        std::optional<TimePoint> confirmedUntil;
        AuxiliaryServer::Respond respond;
        Subscription timer;
    };

    void list(const std::string &afterKey, const AuxiliaryServer::Respond &respond) const;
    /// Position after which a reader watches that names only a revision.
    FeedPosition positionOf(Revision revision) const;
    void watch(FeedPosition after, Duration timeout, AuxiliaryServer::Respond respond);
    bool hasUpdate(const PendingWatch &pending) const;
    void respondTo(const PendingWatch &pending) const;

    const Clock &clock;
    TimerService &timers;
    const FeedReplica &replica;
    const FeedFreshness &freshness;
    std::map<std::uint64_t, PendingWatch> pendingWatches;
    std::uint64_t nextWatchId = 1;
};

}

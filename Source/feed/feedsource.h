#pragma once

#include "core/result.h"
#include "feed/feederror.h"
#include "feed/feedevent.h"

#include <functional>

namespace Lycheewall
{

/**
 * A source of entries and their changes: the platform's store or another instance. Precondition of list() and watch():
 * no other request of this source is in flight. Their callbacks are called once, never from within the call.
 * Thread safety: none; used on the thread of the request loop. Errors: FeedError.
 */
class FeedSource
{
public:
    virtual ~FeedSource() = default;

    /// Reads a page of the entries after @p afterKey in the order of their keys; from the first entry if it is empty.
    virtual void list(const std::string &afterKey, std::function<void(Result<FeedPage>)> done) = 0;

    /// Waits up to @p timeout for changes after @p after. The batch is empty if there were none. A batch of another era
    /// than that of @p after does not say what has changed.
    virtual void watch(FeedPosition after, Duration timeout, std::function<void(Result<FeedBatch>)> done) = 0;

    /// Cancels the request in flight unless its response has begun to arrive; its callback gets FeedError::Unreachable.
    /// A response that arrives in parts has time limits of its own. If no request is in flight, the next one uses a new
    /// connection.
    virtual void cancelUnanswered() = 0;
};

/**
 * Reports the current position of the store.
 * Thread safety: none; used on the thread of the request loop. Errors: FeedError.
 */
class RevisionSource
{
public:
    virtual ~RevisionSource() = default;

    /// Requests the current position. Precondition: no other request of this source is in flight. @p done is called
    /// once, never from within the call.
    virtual void currentPosition(std::function<void(Result<FeedPosition>)> done) = 0;
};

}

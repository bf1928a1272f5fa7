#pragma once

#include "core/result.h"
#include "feed/feederror.h"
#include "feed/feedevent.h"

#include <functional>

namespace Lycheewall
{

/**
 * Something that entries and their changes can be read from: the platform's store, or another instance.
 * Thread safety: none; used on the thread of the request loop. Errors: FeedError.
 */
class FeedSource
{
public:
    virtual ~FeedSource() = default;

    /// Reads the entries after @p afterKey in the order of keys; from the first one when it is empty.
    virtual void list(const std::string &afterKey, std::function<void(Result<FeedPage>)> done) = 0;

    /// Waits up to @p wait for changes after @p after.
    virtual void watch(Revision after, Duration wait, std::function<void(Result<FeedBatch>)> done) = 0;

    /// Gives up the request that is under way, if any; its callback gets FeedError::Unreachable.
    virtual void cancel() = 0;
};

/**
 * Tells how far the store's history goes.
 * Thread safety: none; used on the thread of the request loop. Errors: FeedError.
 */
class RevisionSource
{
public:
    virtual ~RevisionSource() = default;

    /// The position that holds now. Precondition: no other request is under way.
    virtual void currentRevision(std::function<void(Result<Revision>)> done) = 0;
};

}

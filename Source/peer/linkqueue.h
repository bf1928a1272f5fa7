#pragma once

#include "peer/codec/peertransport.h"

#include <deque>
#include <mutex>
#include <string>

namespace Lycheewall
{

/**
 * The frames that wait to be written on one link. It ends with the link, so no frame reaches a later one.
 * Thread safety: any thread.
 */
class LinkQueue
{
public:
    /// @p boundBytes covers the waiting frames and those that the connection has not begun to write.
    explicit LinkQueue(std::size_t boundBytes);

    struct Pushed
    {
        SendResult result = SendResult::Unreachable;
        /// The caller has to schedule a flush.
        bool wake = false;
    };

    Pushed push(std::string frame);

    /// Takes all waiting frames; the next push() wakes again.
    std::deque<std::string> take();

    /// Bytes that the connection has taken and not begun to write.
    void setBuffered(std::size_t bytes);

    /// Refuses all later frames and drops the waiting ones.
    void close();

private:
    const std::size_t bound;
    std::mutex mutex;
    std::deque<std::string> frames;
    std::size_t waiting = 0;
    std::size_t buffered = 0;
    bool open = true;
    bool wakeScheduled = false;
};

}

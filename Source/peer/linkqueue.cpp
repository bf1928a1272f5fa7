#include "peer/linkqueue.h"

namespace Lycheewall
{

LinkQueue::LinkQueue(std::size_t boundBytes)
    : bound(boundBytes)
{
}

LinkQueue::Pushed LinkQueue::push(std::string frame)
{
    const std::lock_guard lock(this->mutex);
    if (!this->open) {
        return { SendResult::Unreachable, false };
    }
    if (this->waiting + this->buffered + frame.size() > this->bound) {
        return { SendResult::QueueFull, false };
    }
    this->waiting += frame.size();
    this->frames.push_back(std::move(frame));
    const bool wake = !this->wakeScheduled;
    this->wakeScheduled = true;
    return { SendResult::HandedOver, wake };
}

std::deque<std::string> LinkQueue::take()
{
    const std::lock_guard lock(this->mutex);
    // The frames taken count as buffered until the connection tells how many it holds.
    this->buffered += this->waiting;
    this->waiting = 0;
    this->wakeScheduled = false;
    return std::exchange(this->frames, {});
}

void LinkQueue::setBuffered(std::size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    this->buffered = bytes;
}

void LinkQueue::close()
{
    const std::lock_guard lock(this->mutex);
    this->open = false;
    this->frames.clear();
    this->waiting = 0;
}

}

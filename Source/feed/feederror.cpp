#include "feed/feederror.h"

#include <string>

namespace Lycheewall
{

namespace
{

class FeedCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "feed";
    }
    std::string message(int value) const override
    {
        switch (static_cast<FeedError>(value)) {
        case FeedError::Unreachable:
            return "unreachable";
        case FeedError::TimedOut:
            return "timed-out";
        case FeedError::Busy:
            return "busy";
        case FeedError::Refused:
            return "refused";
        case FeedError::HistoryCompacted:
            return "history-gone";
        case FeedError::MalformedResponse:
            return "bad-answer";
        case FeedError::ResponseTooLarge:
            return "too-large";
        case FeedError::OutdatedEra:
            return "old-era";
        }
        return "unknown";
    }
};

}

std::error_code make_error_code(FeedError error)
{
    static const FeedCategory category;
    return { static_cast<int>(error), category };
}

}

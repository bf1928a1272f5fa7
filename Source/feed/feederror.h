#pragma once

#include <system_error>

namespace Lycheewall
{

/// Reason why a feed source gave no usable response.
enum class FeedError {
    Unreachable = 1,
    TimedOut,
    Busy,
    Refused,
    HistoryCompacted,
    MalformedResponse,
    ResponseTooLarge,
    /// The response is of an older era of the store than one that is already known.
    OutdatedEra
};
std::error_code make_error_code(FeedError error);

}

namespace std
{
template<> struct is_error_code_enum<Lycheewall::FeedError> : true_type
{
};
}

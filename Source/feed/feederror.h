#pragma once

#include <system_error>

namespace Lycheewall
{

/// Why a source of the feed gave no usable answer.
enum class FeedError { Unreachable = 1, TimedOut, Busy, Refused, HistoryCompacted, MalformedResponse };
std::error_code make_error_code(FeedError error);

}

namespace std
{
template<> struct is_error_code_enum<Lycheewall::FeedError> : true_type
{
};
}

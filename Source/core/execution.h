#pragma once

#include <algorithm>
#include <string_view>

namespace Lycheewall
{

/// What is known of whether an endpoint has run a request, in ascending order.
enum class Execution {
    /// No endpoint has run the request, and none will.
    NotRun,
    /// An endpoint may have run the request, or may still run it.
    Unknown,
    /// An endpoint has run the request.
    Ran,
};

/// The text for log lines, for example "not-run". Thread safety: any thread.
constexpr std::string_view executionName(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not-run";
    case Execution::Unknown:
        return "unknown";
    case Execution::Ran:
        return "ran";
    }
    return "invalid";
}

/// What is known of a request that was sent twice, or in two parts. Thread safety: any thread.
constexpr Execution combined(Execution first, Execution second)
{
    return std::max(first, second);
}

/// True for the HTTP statuses with which a reply promises its caller that the request has not run and will not run, so
/// that the caller may send it again. Thread safety: any thread.
constexpr bool promisesNotRun(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int misdirectedRequest = 421;
    constexpr int tooManyRequests = 429;
    constexpr int serviceUnavailable = 503;
    return status == requestTimeout || status == misdirectedRequest || status == tooManyRequests
        || status == serviceUnavailable;
}

/// True if a reply with @p status states nothing untrue about a request with @p execution. Thread safety: any thread.
constexpr bool isTruthfulStatus(int status, Execution execution)
{
    return execution == Execution::NotRun || !promisesNotRun(status);
}

}

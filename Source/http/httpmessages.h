#pragma once

#include "core/refusal.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Lycheewall
{

/// The parts of a request that the interfaces look at.
struct HttpRequest
{
    std::string method;
    /// Path and query as sent.
    std::string target;
    std::optional<std::string> authorization;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    /// Sent as Retry-After, rounded up to whole seconds.
    std::optional<std::int64_t> retryAfterMs;
};

/**
 * Answers the requests of one HttpServer.
 * Thread safety: called from any worker, by many fibers at once; may block its fiber, not its thread.
 */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual HttpResponse handle(const HttpRequest &request) = 0;

    /// The answer to a request that could not be read. @p refusal says why.
    virtual HttpResponse refuse(Refusal refusal) = 0;
};

}

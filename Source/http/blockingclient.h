#pragma once

#include "core/result.h"
#include "http/httpmessages.h"

#include <string>

namespace Lycheewall
{

/// Blocking HTTP requests, for programs without fibers. Thread safety: static functions without state.
class BlockingClient
{
public:
    /// Errors: those of connecting and of the exchange; timed_out after @p seconds.
    static Result<HttpResponse> exchange(const std::string &address, const HttpRequest &request, int seconds = 10);
};

}

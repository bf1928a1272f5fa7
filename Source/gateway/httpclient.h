#pragma once

#include "core/result.h"
#include "feed/feederror.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Lycheewall
{

struct HttpClientResponse
{
    /// 200 to 599.
    int status = 0;
    boost::beast::http::fields header;
    std::string body;
};

/**
 * Sends GET requests to one address, one at a time, over a persistent connection. A connection on which a request
 * failed is never reused.
 * Thread safety: none; used on the thread of the request loop. Errors: FeedError::TimedOut,
 * FeedError::ResponseTooLarge, FeedError::MalformedResponse for a status that is not final or not valid, or
 * FeedError::Unreachable for all other failures, including a response that is not valid HTTP.
 */
class HttpClient
{
public:
    using Callback = std::function<void(Result<HttpClientResponse>)>;

    HttpClient(boost::asio::io_context &io, std::string address);

    /// Sends a GET request for @p target. @p timeout limits the time until the response begins to arrive, including the
    /// connection setup; then it has to make progress until it is complete. @p done is called once, never from within
    /// get(). Precondition: no request is in flight.
    void get(const std::string &target, std::chrono::milliseconds timeout, Callback done);

    /// Cancels the request in flight unless its response has begun to arrive; its callback gets FeedError::Unreachable.
    /// If no request is in flight, the connection is closed, and the next request uses a new one.
    void cancelUnanswered();

private:
    class Request;

    boost::asio::io_context &io;
    std::string address;
    struct Connection;
    std::shared_ptr<Connection> connection;
    std::weak_ptr<const Request> requestInFlight;
};

}

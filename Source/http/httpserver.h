#pragma once

#include "core/clock.h"
#include "core/counters.h"
#include "core/result.h"
#include "http/httpmessages.h"
#include "runtime/worker.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Lycheewall
{

struct HttpLimits
{
    /// Bytes of a request's first line and headers.
    std::uint32_t headerBytes = 8 * 1024;
    /// Bytes of a request's body.
    std::uint64_t bodyBytes = std::uint64_t(1024) * 1024;
    /// Connections open at the same time.
    std::size_t connections = 1024;
    /// How long a connection may wait for its next request.
    Duration idle = std::chrono::seconds(30);
    /// How long a request may take to arrive, and an answer to leave.
    Duration transfer = std::chrono::seconds(10);
};

/**
 * HTTP/1.1 server on the fibers of some workers.
 * Thread safety: all methods may be called from any thread.
 */
class HttpServer
{
public:
    /**
     * Listens on @p address ("ip:port").
     * Preconditions: workers is not empty; workers, handler and counters outlive the server.
     * Errors: those of bind and listen, or invalid_argument for an address that cannot be read.
     */
    static Result<std::unique_ptr<HttpServer>> create(std::vector<Worker *> workers,
                                                      const std::string &address,
                                                      const HttpLimits &limits,
                                                      HttpHandler &handler,
                                                      Counters &counters);

    ~HttpServer();

    /// From now on each answer carries "Connection: close", so that callers move to another address.
    void closeAfterResponse();

    /// Closes the listener. Open connections go on.
    void stopAccepting();

    /// Closes connections that wait for a request, and the others after their answer.
    void closeIdle();

    /// Requests that are being read, answered or written.
    std::size_t activeRequests() const;
    std::size_t openConnections() const;

    /// The port that the server listens on.
    std::uint16_t port() const;

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> serverState);

    std::shared_ptr<State> state;
};

}

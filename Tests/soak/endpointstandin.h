#pragma once

#include "httpserver.h"
#include "observations.h"

#include <boost/asio/steady_timer.hpp>
#include <random>

namespace Soak
{

/// What an endpoint says of itself, from one moment to another.
struct StatementSpan
{
    Statement::Kind kind = Statement::Kind::RateLimit;
    double from = 0;
    double until = 0;
    double value = 0;
};

/// A back-end server that speaks the platform's protocol and records what reaches it. Thread safety: only the thread of
/// its io_context.
class EndpointStandin
{
public:
    EndpointStandin(boost::asio::io_context &io,
                    Observations &observations,
                    std::string id,
                    std::string service,
                    std::string zone,
                    std::vector<StatementSpan> spans,
                    unsigned seed);

    const std::string &id() const;

    /// The address on which the endpoint listens.
    std::string address() const;

    const std::string &zone() const;

    /// The entry in the store, with the address to which instances connect. @p start tells the starts of the endpoint
    /// apart.
    std::string entry(const std::string &publishedAddress, int start = 0) const;

    /// Makes no more statements, as a new start of the endpoint knows nothing of those of the earlier one.
    void restart();

    /// The signature of the response to an attempt, and its body, which follows from the signature.
    static std::string stampOf(const std::string &attemptId, const std::string &endpoint);
    static std::string bodyOf(const std::string &stamp);

    /// The status of the response with this signature: a failure for some of the requests that have run.
    static int statusOf(const std::string &stamp);

private:
    void handle(const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request);
    /// The statement that holds now; nullptr if none does.
    const StatementSpan *currentSpan(Statement::Kind kind) const;
    void addStatements(Standins::HttpResponse &response, const std::string &attemptId, bool isRefusal);

    boost::asio::io_context &io;
    Observations &observations;
    std::string endpointId;
    std::string service;
    std::string zoneName;
    std::vector<StatementSpan> spans;
    std::mt19937 random;
    Standins::HttpServer server;
    std::uint16_t port;
};

}

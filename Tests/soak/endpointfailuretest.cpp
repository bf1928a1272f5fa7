#include "singleinstance.h"

#include <boost/test/unit_test.hpp>
#include <mutex>
#include <set>

namespace Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int instanceNumber = 5;
constexpr int gracePeriodS = 6;
constexpr auto deadline = 4000ms;
constexpr int badGateway = 502;
/// The statuses with which a reply promises its caller that the request has not run.
const std::set<int> promises { 408, 421, 429, 503 };
/// Statuses that an endpoint may choose for a failure of its own.
const std::vector<int> failures { 400, 404, 408, 429, 500, 502, 503, 504 };
const std::vector<std::string> kinds { "record", "fetch", "query" };
/// The endpoint refuses requests for this path instead of running them.
const std::string refusingPath = "/refused";
/// The endpoint does not sign its responses to requests for this path.
const std::string unsignedPath = "/unsigned";

bool endsWith(const std::string &text, const std::string &end)
{
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

std::string nameOf(const std::string &kind, int status)
{
    return kind + std::to_string(status);
}

/// An endpoint of all services. It runs each request and responds with the status that the first segment of the path
/// ends in.
class FailingEndpoint
{
public:
    explicit FailingEndpoint(boost::asio::io_context &context)
        : server(context)
    {
        this->server.requestHandler
            = [this](const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request) {
                  this->handle(connection, request);
              };
        this->port = this->server.listen(0);
    }

    /// Thread safety: any thread.
    bool hasRun(const std::string &attemptId)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->ran.count(attemptId) > 0;
    }

    std::uint16_t port = 0;

private:
    void handle(const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request)
    {
        const std::string attemptId(request["X-Lycheewall-Attempt-Id"]);
        const std::string path(request.target());
        const std::string segment = path.substr(1, path.find('/', 1) - 1);
        Standins::HttpResponse response
            = Standins::textResponse(std::stoi(segment.substr(segment.find_first_of("0123456789"))), "failed");
        response.set("X-Lycheewall-Attempt-Id", attemptId);
        if (endsWith(path, refusingPath)) {
            response.set("X-Lycheewall-Not-Executed", "1");
        } else {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->ran.insert(attemptId);
        }
        if (!endsWith(path, unsignedPath)) {
            response.set("X-Lycheewall-Server-Stamp", "stamp-" + attemptId);
        }
        connection->reply(std::move(response));
    }

    Standins::HttpServer server;
    std::mutex mutex;
    std::set<std::string> ran;
};

nlohmann::json routeOf(const std::string &kind, const std::string &name)
{
    nlohmann::json route = publicRoute(name, kind == "record" ? "non_idempotent" : "idempotent", name, deadline);
    if (kind == "query") {
        route.erase("Service");
        route["FanoutServices"] = nlohmann::json::array({ name });
        route["TopK"] = 1;
    }
    return route;
}

struct Fixture
{
    Fixture()
    {
        // A service of its own for each route, so that no endpoint is avoided for the failures of another route.
        nlohmann::json routes = nlohmann::json::array();
        nlohmann::json services = nlohmann::json::array();
        std::map<std::string, std::string> entries;
        for (const std::string &kind : kinds) {
            for (const int status : failures) {
                const std::string name = nameOf(kind, status);
                routes.push_back(routeOf(kind, name));
                services.push_back({ { "Name", name }, { "MaxConnections", 100 } });
                entries.emplace("endpoint-" + name, endpointEntry(name, this->endpoint.port));
            }
        }
        BOOST_REQUIRE(
            this->instance.start({ { "Version", 1 }, { "Routes", routes }, { "Services", services } }, entries));
    }

    /// Sends a request and returns its status.
    int send(const std::string &kind, int status, const std::string &path)
    {
        const std::string name = nameOf(kind, status);
        this->attemptId = name + path;
        return this->instance.sendRequest(kind == "record" ? "POST" : "GET",
                                          '/' + name + path,
                                          this->attemptId,
                                          deadline,
                                          std::chrono::steady_clock::now());
    }

    SingleInstance instance { instanceNumber, gracePeriodS };
    FailingEndpoint endpoint { instance.context() };
    /// Of the request that was sent last.
    std::string attemptId;
};

}

BOOST_AUTO_TEST_SUITE(EndpointFailureTest)

// Guards against a reply that promises "not run" for a request that an endpoint has run before it failed: the caller
// sends the request again, and a record is filed twice. Other failures reach the caller as the endpoint sent them.
BOOST_FIXTURE_TEST_CASE(failureOfARequestThatHasRunIsNoPromise, Fixture)
{
    for (const std::string &path : { std::string("/x"), unsignedPath }) {
        for (const int failure : failures) {
            for (const std::string &kind : kinds) {
                const int status = this->send(kind, failure, path);
                const bool isPassedOn = kind != "query" && promises.count(failure) == 0;
                BOOST_TEST(this->endpoint.hasRun(this->attemptId), this->attemptId);
                BOOST_TEST(status == (isPassedOn ? failure : badGateway), this->attemptId << " got " << status);
            }
        }
    }
}

// Guards against a request that no endpoint has run and whose caller is not told so: it could not be sent again.
BOOST_FIXTURE_TEST_CASE(refusalOfAnEndpointIsAPromise, Fixture)
{
    for (const int refusal : { 429, 503 }) {
        for (const std::string &kind : kinds) {
            const int status = this->send(kind, refusal, refusingPath);
            BOOST_TEST(!this->endpoint.hasRun(this->attemptId), this->attemptId);
            BOOST_TEST(promises.count(status) == 1U, this->attemptId << " got " << status);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}

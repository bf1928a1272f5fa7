#include "singleinstance.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <set>

namespace Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int gracePeriodS = 6;
/// Time that the endpoint works on each request, and the time that callers wait.
constexpr auto work = 3000ms;
constexpr auto deadline = 5000ms;

/// An endpoint that works for a long time on each request and remembers which attempts it has seen.
class SlowEndpoint
{
public:
    explicit SlowEndpoint(boost::asio::io_context &context)
        : io(context)
        , server(context)
    {
        this->server.requestHandler
            = [this](const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request) {
                  this->handle(connection, request);
              };
        this->port = this->server.listen(0);
    }

    std::string entry() const
    {
        return endpointEntry("records", this->port);
    }

    /// Thread safety: any thread.
    bool hasSeen(const std::string &attemptId)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->seen.count(attemptId) > 0;
    }

private:
    void handle(const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request)
    {
        const std::string attemptId(request["X-Lycheewall-Attempt-Id"]);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->seen.insert(attemptId);
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(this->io, work);
        timer->async_wait([timer, connection, attemptId](boost::system::error_code error) {
            if (!error) {
                auto response = Standins::textResponse(200, "done");
                response.set("X-Lycheewall-Attempt-Id", attemptId);
                response.set("X-Lycheewall-Server-Stamp", "stamp-" + attemptId);
                connection->reply(response);
            }
        });
    }

    boost::asio::io_context &io;
    Standins::HttpServer server;
    std::uint16_t port = 0;
    std::mutex mutex;
    std::set<std::string> seen;
};

nlohmann::json configuration()
{
    nlohmann::json result;
    result["Version"] = 1;
    result["Routes"] = nlohmann::json::array({ publicRoute("record", "non_idempotent", "records", deadline),
                                               publicRoute("fetch", "idempotent", "records", deadline) });
    result["Services"] = nlohmann::json::array({ { { "Name", "records" }, { "MaxConnections", 100 } } });
    return result;
}

struct Fixture
{
    Fixture()
    {
        BOOST_REQUIRE(this->instance.start(configuration(), { { "endpoint", this->endpoint.entry() } }));
    }

    SingleInstance instance { 1, gracePeriodS };
    SlowEndpoint endpoint { instance.context() };
};

}

BOOST_AUTO_TEST_SUITE(PlannedStopTest)

// Guards against requests that an instance takes late in its grace period, passes on and cuts without a reply when it
// ends: their callers cannot know whether they have run.
BOOST_FIXTURE_TEST_CASE(eachRequestThatWasPassedOnGetsAReply, Fixture)
{
    struct Attempt
    {
        std::string id;
        std::future<int> status;
    };
    std::vector<Attempt> attempts;
    const auto stopAt = std::chrono::steady_clock::now() + 300ms;
    for (int step = 0; step < 40; ++step) {
        const std::string id = "attempt-" + std::to_string(step);
        const bool isIdempotent = step % 2 == 0;
        const std::string method = isIdempotent ? "GET" : "POST";
        const std::string path = isIdempotent ? "/fetch/x" : "/record/x";
        attempts.push_back({ id, std::async(std::launch::async, [=] {
                                 return this->instance.sendRequest(method, path, id, deadline, stopAt + step * 100ms);
                             }) });
    }
    std::this_thread::sleep_until(stopAt);
    this->instance.process().signal(SIGTERM);
    BOOST_TEST(this->instance.process().wait(std::chrono::seconds(gracePeriodS)) == 0);
    int served = 0;
    int refused = 0;
    for (Attempt &attempt : attempts) {
        const int status = attempt.status.get();
        const bool wasPassedOn = this->endpoint.hasSeen(attempt.id);
        BOOST_TEST((status != 0 || !wasPassedOn), attempt.id << " was passed on and got no reply");
        BOOST_TEST((status != 503 || !wasPassedOn), attempt.id << " was passed on and got a \"not run\" reply");
        served += status == 200 ? 1 : 0;
        refused += status == 503 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("served: " << served << ", refused as not run: " << refused << ", of " << attempts.size());
    BOOST_TEST(served >= 10);
}

BOOST_AUTO_TEST_SUITE_END()

}

#include "process.h"
#include "storestandin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <mutex>
#include <set>
#include <thread>

namespace Soak
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
namespace http = boost::beast::http;

constexpr int gracePeriodS = 6;
/// Time that the endpoint works on each request, and the time that callers wait.
constexpr auto work = 3000ms;
constexpr int deadlineMs = 5000;
constexpr int callerPort = 22990;
const std::string instanceIp = "127.250.1.1";

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
        return nlohmann::json {
            { "Service", "records" }, { "Address", "127.0.0.1:" + std::to_string(this->port) },
            { "Zone", "z" },          { "Version", "v1" },
            { "Slots", 64 },          { "State", "ready" },
            { "WarmupLeftMs", 0 },    { "Sequence", 1 },
            { "born", 1700000000123 }
        }.dump();
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

std::string configuration()
{
    const auto route = [](const std::string &name, const std::string &kind) {
        return nlohmann::json { { "Name", name },           { "Host", "stop.example" }, { "Prefix", "/" + name + "/" },
                                { "Kind", kind },           { "Public", true },         { "TimeoutMs", deadlineMs },
                                { "TargetLatencyMs", 800 }, { "Service", "records" },   { "MaxAttempts", 1 } };
    };
    nlohmann::json result;
    result["Version"] = 1;
    result["Routes"] = nlohmann::json::array({ route("record", "non_idempotent"), route("fetch", "idempotent") });
    result["Services"] = nlohmann::json::array({ { { "Name", "records" }, { "MaxConnections", 100 } } });
    return result.dump();
}

/// The store and an endpoint, which run in a thread of their own, and one instance.
class Fixture
{
public:
    Fixture()
    {
        this->folder = mkdtemp(this->folder.data());
        this->store.set("op/config", configuration());
        this->store.set("servers/endpoint", this->endpoint.entry());
        this->thread = std::thread([this] { this->io.run(); });
        const std::string settingsFile = this->folder + "/settings.yaml";
        Integration::writeFile(
            settingsFile,
            "NodeName: \"instance\"\nIp: \"" + instanceIp + "\"\nZone: \"z\"\nListenAddresses:\n  Front: \""
                + instanceIp + ":" + std::to_string(callerPort)
                + "\"\nInternalPortRange: [22991, 22999]\nSeedNodes: []\nBounds:\n" + "  GracePeriodS: "
                + std::to_string(gracePeriodS) + "\nplatform:\n  Address: \"" + this->store.address() + "\"\n");
        ::setenv("LYCHEEWALL_CONFIG", settingsFile.c_str(), 1);
        const char *otherProgram = std::getenv("LYCHEEWALL_TESTED_PROGRAM");
        this->instance = Integration::Process(
            otherProgram == nullptr ? LYCHEEWALL_PLATFORMD : otherProgram, {}, this->folder + "/log");
        const auto isReady = [this] {
            const std::string log = Integration::readFile(this->folder + "/log");
            return log.find("Endpoint endpoint") != std::string::npos
                && log.find("Ready to serve requests") != std::string::npos;
        };
        BOOST_REQUIRE(Integration::waitFor(isReady, 20s));
    }

    ~Fixture()
    {
        ::unsetenv("LYCHEEWALL_CONFIG");
        this->io.stop();
        this->thread.join();
        std::filesystem::remove_all(this->folder);
    }

    std::string folder = "/tmp/lycheewall-stop-XXXXXX";
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> keepRunning { io.get_executor() };
    StoreStandin store { io };
    SlowEndpoint endpoint { io };
    std::thread thread;
    Integration::Process instance;
};

/// Sends one request at @p sendAt over a connection that was opened before. Returns its status, 0 without a reply.
int sendRequest(const std::string &attemptId, bool isIdempotent, std::chrono::steady_clock::time_point sendAt)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect({ boost::asio::ip::make_address(instanceIp), callerPort }, error);
    std::this_thread::sleep_until(sendAt);
    http::request<http::string_body> request(
        isIdempotent ? http::verb::get : http::verb::post, isIdempotent ? "/fetch/x" : "/record/x", 11);
    request.set(http::field::host, "stop.example");
    request.set("X-Lycheewall-Attempt-Id", attemptId);
    request.set("X-Lycheewall-Deadline-Ms", std::to_string(deadlineMs));
    request.prepare_payload();
    if (!error) {
        http::write(socket, request, error);
    }
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error) {
        http::read(socket, buffer, response, error);
    }
    return error ? 0 : static_cast<int>(response.result_int());
}

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
        attempts.push_back(
            { id, std::async(std::launch::async, sendRequest, id, isIdempotent, stopAt + step * 100ms) });
    }
    std::this_thread::sleep_until(stopAt);
    this->instance.signal(SIGTERM);
    BOOST_TEST(this->instance.wait(std::chrono::seconds(gracePeriodS)) == 0);
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

#include "gateway/rawhttpserver.h"
#include "singleinstance.h"

#include <boost/test/unit_test.hpp>

namespace Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int gracePeriodS = 6;
constexpr auto deadline = 5000ms;
/// The smallest instance of the users has this much memory.
constexpr std::size_t maxMemoryKb = std::size_t { 160 } * 1024;
constexpr int faultyRequests = 800;
constexpr std::size_t bytesOfEach = std::size_t { 250 } * 1024;
constexpr int soundRequests = 20;

nlohmann::json configuration()
{
    nlohmann::json result;
    result["Version"] = 1;
    result["Routes"] = nlohmann::json::array({ publicRoute("faulty", "non_idempotent", "faulty", deadline),
                                               publicRoute("sound", "non_idempotent", "sound", deadline) });
    result["Services"] = nlohmann::json::array({ { { "Name", "faulty" }, { "MaxConnections", 8 * faultyRequests } },
                                                 { { "Name", "sound" }, { "MaxConnections", 8 * soundRequests } } });
    return result;
}

struct Fixture
{
    SingleInstance instance { 2, gracePeriodS };
    Lycheewall::RawHttpServer faulty { instance.context(), [](int) {
                                          return "HTTP/1.1 200 OK\r\nX: y\r\n\r\n" + std::string(bytesOfEach, 'x');
                                      } };
    Lycheewall::RawHttpServer sound { instance.context(), [](int) {
                                         return "HTTP/1.1 200 OK\r\nX-Lycheewall-Attempt-Id: sound\r\n"
                                                "X-Lycheewall-Server-Stamp: stamp\r\nContent-Length: 4\r\n\r\nbody";
                                     } };
};

}

BOOST_AUTO_TEST_SUITE(EndlessResponseTest)

// Guards against an instance that runs out of memory because an endpoint sends on many connections, without end and
// little on each, and against requests to other endpoints that are lost with it.
BOOST_FIXTURE_TEST_CASE(instanceSurvivesEndlessResponses, Fixture)
{
    BOOST_REQUIRE(this->instance.start(configuration(),
                                       { { "faulty", endpointEntry("faulty", portOf(this->faulty.address())) },
                                         { "sound", endpointEntry("sound", portOf(this->sound.address())) } }));
    const auto begin = std::chrono::steady_clock::now() + 500ms;
    const auto send = [&](const std::string &path, const std::string &id, std::chrono::milliseconds delay) {
        return std::async(std::launch::async, [this, path, id, sendAt = begin + delay] {
            return this->instance.sendRequest("POST", path, id, deadline, sendAt);
        });
    };
    std::vector<std::future<int>> faultyStatuses;
    for (int number = 0; number < faultyRequests; ++number) {
        faultyStatuses.push_back(send("/faulty/x", std::to_string(number), 0ms));
    }
    std::vector<std::future<int>> soundStatuses;
    for (int number = 0; number < soundRequests; ++number) {
        soundStatuses.push_back(send("/sound/x", "sound", 1000ms + number * 100ms));
    }
    int served = 0;
    for (auto &status : soundStatuses) {
        served += status.get() == 200 ? 1 : 0;
    }
    int unanswered = 0;
    for (auto &status : faultyStatuses) {
        unanswered += status.get() == 0 ? 1 : 0;
    }
    const std::size_t memoryKb = peakMemoryKb(this->instance.process().id());
    BOOST_TEST_MESSAGE("faulty requests that arrived: " << this->faulty.requests << ", peak memory: " << memoryKb
                                                        << " KB");
    BOOST_TEST(served == soundRequests);
    BOOST_TEST(unanswered == 0);
    BOOST_TEST(memoryKb > 0U);
    BOOST_TEST(memoryKb < maxMemoryKb);
    BOOST_TEST(this->instance.process().alive());
}

BOOST_AUTO_TEST_SUITE_END()

}

#include "gateway/rawhttpserver.h"
#include "singleinstance.h"

#include <boost/test/unit_test.hpp>

namespace Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int gracePeriodS = 6;
constexpr auto deadline = 4000ms;
constexpr int memoryMb = 64;
constexpr int maxDescriptors = 4096;
constexpr int queries = 60;
constexpr int respondingShards = 35;
constexpr std::size_t responseBytes = std::size_t { 50'000 };
/// More than all shards of a query respond with, so that the merged reply contains all of it.
constexpr int allRecords = 200'000;
constexpr int fewRecords = 100;
const std::string attemptId = "query";

std::string response(std::size_t bytes)
{
    return "HTTP/1.1 200 OK\r\nX-Lycheewall-Attempt-Id: " + attemptId
        + "\r\nX-Lycheewall-Server-Stamp: stamp\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
        + std::string(bytes, 'x');
}

nlohmann::json queryRoute(const std::string &name, const nlohmann::json &shards, int maxRecords)
{
    nlohmann::json route = publicRoute(name, "idempotent", "sound", deadline);
    route.erase("Service");
    route["FanoutServices"] = shards;
    route["TopK"] = maxRecords;
    return route;
}

/// Queries with one shard that never responds, queries whose shards all respond, and single requests.
nlohmann::json configuration()
{
    nlohmann::json services = nlohmann::json::array({ { { "Name", "sound" }, { "MaxConnections", 100 } },
                                                      { { "Name", "silent" }, { "MaxConnections", 8 * queries } } });
    nlohmann::json responding = nlohmann::json::array();
    for (int shard = 0; shard < respondingShards; ++shard) {
        responding.push_back("shard" + std::to_string(shard));
        services.push_back({ { "Name", responding.back() }, { "MaxConnections", 8 * queries } });
    }
    nlohmann::json waiting = responding;
    waiting.push_back("silent");
    const nlohmann::json routes = nlohmann::json::array({ publicRoute("sound", "non_idempotent", "sound", deadline),
                                                          queryRoute("complete", responding, allRecords),
                                                          queryRoute("waiting-all", waiting, allRecords),
                                                          queryRoute("waiting-few", waiting, fewRecords) });
    return { { "Version", 1 }, { "Routes", routes }, { "Services", services } };
}

struct Fixture
{
    Fixture()
    {
        std::map<std::string, std::string> entries {
            { "sound", endpointEntry("sound", portOf(this->sound.address())) },
            { "silent", endpointEntry("silent", this->silent.local_endpoint().port()) }
        };
        for (int shard = 0; shard < respondingShards; ++shard) {
            const std::string name = "shard" + std::to_string(shard);
            entries.emplace(name, endpointEntry(name, portOf(this->shards.address())));
        }
        BOOST_REQUIRE(this->instance.start(configuration(),
                                           entries,
                                           "Limits:\n  MemoryMb: " + std::to_string(memoryMb)
                                               + "\n  MaxFds: " + std::to_string(maxDescriptors) + "\n"));
    }

    int send(const std::string &path) const
    {
        return this->instance.sendRequest("POST", path, attemptId, deadline, std::chrono::steady_clock::now());
    }

    void runCrowd(const std::string &path)
    {
        BOOST_TEST(this->send("/complete/x") == 200);
        std::map<int, int> countByStatus;
        std::vector<std::future<int>> statuses;
        for (int number = 0; number < queries; ++number) {
            statuses.push_back(std::async(std::launch::async, [this, &path] { return this->send(path); }));
        }
        for (auto &status : statuses) {
            ++countByStatus[status.get()];
        }
        const std::size_t memoryKb = peakMemoryKb(this->instance.process().id());
        BOOST_TEST_MESSAGE("peak memory: " << memoryKb << " KB, responses of shards: " << this->shards.requests);
        for (const auto &[status, count] : countByStatus) {
            BOOST_TEST_MESSAGE("queries with status " << status << ": " << count);
        }
        BOOST_TEST(memoryKb > 0U);
        BOOST_TEST(memoryKb <= std::size_t { memoryMb } * 1024);
        BOOST_TEST(this->instance.process().alive());
        BOOST_TEST(this->send("/sound/x") == 200);
    }

    SingleInstance instance { 4, gracePeriodS };
    Lycheewall::RawHttpServer sound { instance.context(), [](int) {
                                         return response(4);
                                     } };
    Lycheewall::RawHttpServer shards { instance.context(), [](int) {
                                          return response(responseBytes);
                                      } };
    /// Its queue takes connections that nobody reads.
    boost::asio::ip::tcp::acceptor silent { instance.context(), { boost::asio::ip::address_v4::loopback(), 0 } };
};

}

// Both cases guard against an instance whose memory is used up by the responses of shards that wait for the last one.
BOOST_AUTO_TEST_SUITE(WaitingResponseTest)

BOOST_FIXTURE_TEST_CASE(queriesForAllRecords, Fixture)
{
    this->runCrowd("/waiting-all/x");
}

BOOST_FIXTURE_TEST_CASE(queriesForFewRecords, Fixture)
{
    this->runCrowd("/waiting-few/x");
}

BOOST_AUTO_TEST_SUITE_END()

}

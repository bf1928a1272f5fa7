#include "clientcrowd.h"
#include "gateway/rawhttpserver.h"
#include "singleinstance.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>

namespace Soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int gracePeriodS = 6;
constexpr auto deadline = 5000ms;
constexpr std::size_t maxHeaderBytes = std::size_t { 64 } * 1024;
constexpr std::size_t maxBodyBytes = std::size_t { 256 } * 1024;
constexpr std::size_t largeResponseBytes = std::size_t { 512 } * 1024;
/// Descriptors that an instance keeps for files.
constexpr int fileDescriptors = 200;
/// Time for the clients to send what the instance takes.
constexpr auto sendTime = 6s;

int fromEnvironment(const char *name, int defaultValue)
{
    const char *value = std::getenv(name);
    return value == nullptr ? defaultValue : std::stoi(value);
}

/// The environment variables are for longer runs by hand with a larger crowd.
const int clientCount = fromEnvironment("LYCHEEWALL_CROWD_CLIENTS", 400);
const int memoryMb = fromEnvironment("LYCHEEWALL_CROWD_MEMORY_MB", 64);
const int maxDescriptors = fromEnvironment("LYCHEEWALL_CROWD_MAX_FDS", 1000);
const auto holdTime = std::chrono::milliseconds(fromEnvironment("LYCHEEWALL_CROWD_HOLD_MS", 1500));

const std::string requestEnd = "Host: instance.example\r\nX-Lycheewall-Deadline-Ms: 4000\r\n";

std::string head(const std::string &method, const std::string &path, const std::string &fields)
{
    return method + ' ' + path + " HTTP/1.1\r\n" + requestEnd + fields + "\r\n";
}

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string result;
    result.reserve(bytes);
    while (result.size() + text.size() <= bytes) {
        result += text;
    }
    return result;
}

std::string wholeBody(const std::string &path)
{
    return head("POST", path, "Content-Length: " + std::to_string(maxBodyBytes) + "\r\n")
        + std::string(maxBodyBytes, 'x');
}

/// A request whose last byte is missing.
std::string unfinishedBody(const std::string &path)
{
    std::string bytes = wholeBody(path);
    bytes.pop_back();
    return bytes;
}

std::string unfinishedChunks(const std::string &path, std::size_t chunkBytes, const std::string &chunkHead)
{
    const std::string chunk = chunkHead + "\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    const std::size_t chunks = (maxBodyBytes - 1) / chunkBytes;
    return head("POST", path, "Transfer-Encoding: chunked\r\n") + repeat(chunk, chunks * chunk.size());
}

std::string smallFields(std::size_t bytes)
{
    return repeat("a:\r\n", bytes);
}

/// The beginning of a request with very many header fields. The parser takes them one by one, rather than all at the
/// end of the head, if the path has an even length.
std::string unfinishedHead(const std::string &path, std::size_t bytes)
{
    return "GET " + path + " HTTP/1.1\r\n" + requestEnd + smallFields(bytes);
}

nlohmann::json configuration()
{
    nlohmann::json routes = nlohmann::json::array();
    nlohmann::json services = nlohmann::json::array();
    for (const char *name : { "sound", "silent", "large" }) {
        routes.push_back(publicRoute(name, "non_idempotent", name, deadline));
        services.push_back({ { "Name", name }, { "MaxConnections", 16 * clientCount } });
    }
    return { { "Version", 1 },
             { "Routes", routes },
             { "Services", services },
             { "Limits",
               { { "MaxHeaderBytes", maxHeaderBytes },
                 { "MaxBodyBytes", maxBodyBytes },
                 { "HeaderTimeoutMs", 15000 },
                 { "IdleTimeoutMs", 15000 } } } };
}

int peakMemoryMb(pid_t process)
{
    return static_cast<int>((peakMemoryKb(process) + 1023) / 1024);
}

int openDescriptors(pid_t process)
{
    int count = 0;
    std::error_code error;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", error);
    for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        ++count;
    }
    return count;
}

std::string soundResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Lycheewall-Attempt-Id: sound\r\nX-Lycheewall-Server-Stamp: stamp\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Fixture
{
    Fixture()
    {
        this->startInstance(maxDescriptors);
    }

    explicit Fixture(int descriptors)
    {
        this->startInstance(descriptors);
    }

    void startInstance(int descriptors)
    {
        this->descriptorBound = descriptors - fileDescriptors;
        const std::uint16_t silentPort = this->silent.local_endpoint().port();
        BOOST_REQUIRE(this->instance.start(configuration(),
                                           { { "sound", endpointEntry("sound", portOf(this->sound.address())) },
                                             { "large", endpointEntry("large", portOf(this->large.address())) },
                                             { "silent", endpointEntry("silent", silentPort) } },
                                           "Limits:\n  MemoryMb: " + std::to_string(memoryMb)
                                               + "\n  MaxFds: " + std::to_string(descriptors) + "\n"));
    }

    void runCrowd(Listener listener, const ClientBehaviour &behaviour, int clients = clientCount)
    {
        const pid_t process = this->instance.process().id();
        int descriptors = 0;
        {
            const ClientCrowd crowd(this->instance.address(listener), clients, behaviour);
            const auto observe = [&] {
                descriptors = std::max(descriptors, openDescriptors(process));
                return crowd.allHaveSent();
            };
            Integration::waitFor(observe, sendTime);
            Integration::waitFor([&] { return observe() && false; }, holdTime);
        }
        const int memory = peakMemoryMb(process);
        BOOST_TEST_MESSAGE("peak memory: " << memory << " MB, descriptors: " << descriptors);
        BOOST_TEST(memory > 0);
        BOOST_TEST(memory <= memoryMb);
        BOOST_TEST(descriptors <= this->descriptorBound);
        BOOST_TEST(this->instance.process().alive());
        const auto isServed = [&] {
            return this->instance.sendRequest("POST", "/sound/x", "sound", deadline, std::chrono::steady_clock::now())
                == 200;
        };
        BOOST_TEST(Integration::waitFor(isServed, 10s));
    }

    SingleInstance instance { 3, gracePeriodS };
    Lycheewall::RawHttpServer sound { instance.context(), [](int) {
                                         return soundResponse("body");
                                     } };
    Lycheewall::RawHttpServer large { instance.context(), [](int) {
                                         return soundResponse(std::string(largeResponseBytes, 'x'));
                                     } };
    /// Its queue takes connections that nobody reads.
    boost::asio::ip::tcp::acceptor silent { instance.context(), { boost::asio::ip::address_v4::loopback(), 0 } };
    int descriptorBound = 0;
};

struct FewDescriptors : public Fixture
{
    FewDescriptors()
        : Fixture(fileDescriptors + clientCount / 2)
    {
    }
};

}

// Each case guards against an instance whose memory or descriptors are used up by clients of one kind.
BOOST_AUTO_TEST_SUITE(ClientCrowdTest)

BOOST_FIXTURE_TEST_CASE(unfinishedBodiesAtRoute, Fixture)
{
    this->runCrowd(Listener::Callers, { unfinishedBody("/sound/x") });
}

BOOST_FIXTURE_TEST_CASE(unfinishedBodiesWithoutRoute, Fixture)
{
    this->runCrowd(Listener::Callers, { unfinishedBody("/unknown/x") });
}

BOOST_FIXTURE_TEST_CASE(unfinishedBodiesInSmallPieces, Fixture)
{
    this->runCrowd(Listener::Callers, { unfinishedBody("/sound/x"), 2000 });
}

BOOST_FIXTURE_TEST_CASE(unfinishedSmallChunks, Fixture)
{
    this->runCrowd(Listener::Callers, { unfinishedChunks("/sound/x", 16, "10") });
}

BOOST_FIXTURE_TEST_CASE(unfinishedChunksOfOneByte, Fixture)
{
    this->runCrowd(Listener::Callers, { unfinishedChunks("/sound/x", 1, "1") });
}

BOOST_FIXTURE_TEST_CASE(wholeBodiesAtSilentEndpoint, Fixture)
{
    this->runCrowd(Listener::Callers, { wholeBody("/silent/x") });
}

BOOST_FIXTURE_TEST_CASE(clientsThatLeaveAfterWholeBodies, Fixture)
{
    this->runCrowd(Listener::Callers, { wholeBody("/silent/x"), 65536, true, true });
}

BOOST_FIXTURE_TEST_CASE(bodiesSentAhead, Fixture)
{
    this->runCrowd(Listener::Callers, { wholeBody("/silent/x") + wholeBody("/silent/x") });
}

BOOST_FIXTURE_TEST_CASE(bodiesBeyondLimit, Fixture)
{
    const std::size_t bytes = 16 * maxBodyBytes;
    this->runCrowd(
        Listener::Callers,
        { head("POST", "/sound/x", "Content-Length: " + std::to_string(bytes) + "\r\n") + std::string(bytes, 'x') });
}

BOOST_FIXTURE_TEST_CASE(smallFieldsAtSilentEndpoint, Fixture)
{
    this->runCrowd(Listener::Callers, { unfinishedHead("/silent/x", maxHeaderBytes - 1024) + "\r\n" });
}

BOOST_FIXTURE_TEST_CASE(smallFieldsAhead, Fixture)
{
    const std::string request = unfinishedHead("/unknown/x", maxHeaderBytes - 1024) + "\r\n";
    this->runCrowd(Listener::Callers, { request + request + request, 4096, false });
}

BOOST_FIXTURE_TEST_CASE(unfinishedHeads, Fixture)
{
    this->runCrowd(Listener::Callers, { unfinishedHead("/sound/x", maxHeaderBytes - 1024) });
}

BOOST_FIXTURE_TEST_CASE(requestsAheadWithoutReading, Fixture)
{
    const std::size_t bytes = 4 * maxBodyBytes;
    this->runCrowd(Listener::Callers, { repeat(head("GET", "/unknown/x", ""), bytes), 65536, false });
}

BOOST_FIXTURE_TEST_CASE(slowReadersOfLargeResponses, Fixture)
{
    this->runCrowd(
        Listener::Callers,
        { head("POST", "/large/x", "X-Lycheewall-Attempt-Id: sound\r\nContent-Length: 0\r\n"), 65536, false });
}

BOOST_FIXTURE_TEST_CASE(unfinishedHeadsAtReadiness, Fixture)
{
    this->runCrowd(Listener::Readiness, { unfinishedHead("/ready", std::size_t { 15 } * 1024) });
}

BOOST_FIXTURE_TEST_CASE(unfinishedBodiesAtReadiness, Fixture)
{
    this->runCrowd(Listener::Readiness, { unfinishedBody("/ready") });
}

BOOST_FIXTURE_TEST_CASE(unfinishedHeadsAtDirectory, Fixture)
{
    this->runCrowd(Listener::Directory, { unfinishedHead("/resolve", std::size_t { 15 } * 1024) });
}

BOOST_FIXTURE_TEST_CASE(unfinishedHeadsAtPeerListener, Fixture)
{
    this->runCrowd(Listener::Peers, { unfinishedHead("/feed/list?after=0", std::size_t { 15 } * 1024) });
}

BOOST_FIXTURE_TEST_CASE(slowReadersOfMetrics, Fixture)
{
    this->runCrowd(Listener::Metrics, { repeat(head("GET", "/metrics", ""), maxBodyBytes), 65536, false });
}

BOOST_FIXTURE_TEST_CASE(idleConnectionsOfCallers, FewDescriptors)
{
    this->runCrowd(Listener::Callers, {});
}

BOOST_FIXTURE_TEST_CASE(idleConnectionsAtReadiness, FewDescriptors)
{
    this->runCrowd(Listener::Readiness, {});
}

BOOST_FIXTURE_TEST_CASE(idleConnectionsAtPeerListener, FewDescriptors)
{
    this->runCrowd(Listener::Peers, {});
}

BOOST_FIXTURE_TEST_CASE(requestsAtSilentEndpointUseDescriptors, FewDescriptors)
{
    this->runCrowd(Listener::Callers, { head("POST", "/silent/x", "Content-Length: 0\r\n") });
}

BOOST_AUTO_TEST_SUITE_END()

}

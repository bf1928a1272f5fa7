#include "peer/peernetwork.h"

#include "core/boottimeclock.h"
#include "peer/codec/peercodec.h"
#include "runtime/socketaddress.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace Lycheewall;
namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace
{

bool waitUntil(const std::function<bool()> &condition)
{
    for (int round = 0; round < 5000 && !condition(); ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return condition();
}

/// Writes down what it hears: "up a", "lost a", "a: <sequence of a SubCancel>".
class Recorder : public PeerHandler
{
public:
    void message(const InstanceId &from, PeerMessage message) override
    {
        if (const auto *cancel = std::get_if<SubCancel>(&message)) {
            this->add(from.value() + ": " + std::to_string(cancel->id));
        }
    }
    void answered(const InstanceId &peer, TimePoint asked) override
    {
        const std::lock_guard lock(this->mutex);
        this->askedAt[peer] = asked;
    }
    /// When the last answered ping was sent; the epoch when none was answered.
    TimePoint lastAsked(const InstanceId &peer) const
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->askedAt.find(peer);
        return entry == this->askedAt.end() ? TimePoint() : entry->second;
    }
    void linkUp(const InstanceId &peer) override
    {
        this->add("up " + peer.value());
    }
    void linkLost(const InstanceId &peer) override
    {
        this->add("lost " + peer.value());
    }
    std::vector<std::string> events() const
    {
        const std::lock_guard lock(this->mutex);
        return this->lines;
    }
    bool heard(const std::string &line) const
    {
        const auto present = this->events();
        return std::find(present.begin(), present.end(), line) != present.end();
    }

private:
    void add(const std::string &line)
    {
        const std::lock_guard lock(this->mutex);
        this->lines.push_back(line);
    }
    mutable std::mutex mutex;
    std::vector<std::string> lines;
    std::map<InstanceId, TimePoint> askedAt;
};

/// One daemon under test. Bounds are short, so that silence is noticed quickly.
struct Daemon
{
    explicit Daemon(const std::string &id, const std::function<void(PeerSettings &)> &change = {})
    {
        PeerSettings settings;
        settings.self = InstanceId(id);
        settings.incarnation = Incarnation("run-1");
        settings.listenAddress = "127.0.0.1:0";
        settings.pingEvery = Milliseconds(100);
        settings.answerBound = Milliseconds(400);
        if (change) {
            change(settings);
        }
        this->network = PeerNetwork::create(settings, this->recorder, this->clock, this->counters).value();
    }
    void expect(const std::string &peer, std::uint16_t port = 1)
    {
        this->network->setPeers({ { InstanceId(peer), "127.0.0.1:" + std::to_string(port) } });
        // setPeers() is asynchronous; a send passes through the same thread only when linked, so wait a moment.
        std::this_thread::sleep_for(Milliseconds(20));
    }
    std::uint64_t count(const std::string &name) const
    {
        return this->counters.value("lycheewall_peer_" + name);
    }

    BootTimeClock clock;
    Counters counters;
    Recorder recorder;
    std::unique_ptr<PeerNetwork> network;
};

/// A peer made of a plain socket, which can misbehave.
class RawPeer
{
public:
    explicit RawPeer(std::uint16_t port)
        : stream(context)
    {
        this->stream.next_layer().connect({ asio::ip::make_address("127.0.0.1"), port });
        this->stream.handshake("127.0.0.1", "/peer");
        this->stream.binary(true);
        // A read without an answer fails instead of hanging the test.
        const timeval bound { 3, 0 };
        setsockopt(this->stream.next_layer().native_handle(), SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof(bound));
    }
    void send(const PeerMessage &message)
    {
        this->sendRaw(PeerCodec::encode(message));
    }
    void sendRaw(const std::string &frame)
    {
        beast::error_code error;
        this->stream.write(asio::buffer(frame), error);
    }
    void hello(const std::string &id, std::uint32_t version = peerProtocolVersion)
    {
        this->send(Hello { version, InstanceId(id), Incarnation("r"), ZoneId("z"), "" });
    }
    /// The next message other than a Ping; nothing once the link is closed.
    std::optional<PeerMessage> read()
    {
        for (;;) {
            beast::flat_buffer buffer;
            beast::error_code error;
            this->stream.read(buffer, error);
            if (error) {
                return std::nullopt;
            }
            PeerMessage message = PeerCodec::decode(beast::buffers_to_string(buffer.data())).value();
            if (!std::holds_alternative<Ping>(message)) {
                return message;
            }
        }
    }
    bool closedByPeer()
    {
        while (this->read()) { }
        return true;
    }

    asio::io_context context;
    beast::websocket::stream<tcp::socket> stream;
};

using Lines = std::vector<std::string>;

}

BOOST_AUTO_TEST_SUITE(PeerNetworkTest)

// Guards against a daemon that gives up dialling a peer that listens later, against two links, and against frames that
// arrive out of order or under another name.
BOOST_AUTO_TEST_CASE(linkComesUpOnceThePeerListens)
{
    asio::io_context context;
    tcp::acceptor reserve(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const std::uint16_t port = reserve.local_endpoint().port();
    reserve.close();
    Daemon first("a");
    first.network->setPeers({ { InstanceId("b"), "127.0.0.1:" + std::to_string(port) } });
    BOOST_TEST((first.network->send(InstanceId("b"), SubCancel { 1 }) == SendResult::Unreachable));
    std::this_thread::sleep_for(Milliseconds(150));
    Daemon second("b",
                  [port](PeerSettings &settings) { settings.listenAddress = "127.0.0.1:" + std::to_string(port); });
    second.expect("a");
    BOOST_REQUIRE(waitUntil([&] { return first.recorder.heard("up b") && second.recorder.heard("up a"); }));
    for (std::uint64_t id = 1; id <= 3; ++id) {
        BOOST_TEST((first.network->send(InstanceId("b"), SubCancel { id }) == SendResult::HandedOver));
    }
    BOOST_TEST((second.network->send(InstanceId("a"), SubCancel { 9 }) == SendResult::HandedOver));
    BOOST_TEST(waitUntil([&] { return first.recorder.heard("b: 9") && second.recorder.heard("a: 3"); }));
    // Without the moment of an answered ping, a daemon that hears its peers would count as cut off.
    const TimePoint linkUp = BootTimeClock().now();
    BOOST_TEST(waitUntil([&] { return first.recorder.lastAsked(InstanceId("b")) > linkUp; }));
    // Pings keep an otherwise quiet link alive beyond the answer bound.
    std::this_thread::sleep_for(Milliseconds(900));
    second.network->stop();
    BOOST_REQUIRE(waitUntil([&] { return first.recorder.heard("lost b"); }));
    BOOST_TEST(first.recorder.events() == (Lines { "up b", "b: 9", "lost b" }), boost::test_tools::per_element());
    BOOST_TEST(second.recorder.events() == (Lines { "up a", "a: 1", "a: 2", "a: 3", "lost a" }),
               boost::test_tools::per_element());
    BOOST_TEST((first.network->send(InstanceId("b"), SubCancel { 4 }) == SendResult::Unreachable));
}

// Guards against frames of a replaced link arriving after the newer one is up, and against two losses for one link.
BOOST_AUTO_TEST_CASE(newLinkReplacesTheOldOne)
{
    Daemon daemon("m");
    daemon.expect("a");
    RawPeer old(daemon.network->port());
    old.hello("a");
    BOOST_REQUIRE(old.read().has_value());
    old.send(SubCancel { 1 });
    BOOST_REQUIRE(waitUntil([&] { return daemon.recorder.heard("a: 1"); }));
    RawPeer fresh(daemon.network->port());
    fresh.hello("a");
    BOOST_REQUIRE(fresh.read().has_value());
    old.send(SubCancel { 2 });
    BOOST_TEST(old.closedByPeer());
    fresh.send(SubCancel { 3 });
    BOOST_REQUIRE(waitUntil([&] { return daemon.recorder.heard("a: 3"); }));
    BOOST_TEST(daemon.recorder.events() == (Lines { "up a", "a: 1", "lost a", "up a", "a: 3" }),
               boost::test_tools::per_element());
    BOOST_TEST(daemon.count("links_lost_total{reason=\"replaced\"}") == 1U);
}

// Guards against a link with a daemon of another version, with an instance that is not listed, that should have been
// dialled, or that says no Hello; and against a link that survives a malformed frame or a second Hello.
BOOST_AUTO_TEST_CASE(wrongPeersAreRefusedWithAReason)
{
    Daemon daemon("m");
    daemon.network->setPeers({ { InstanceId("a"), "127.0.0.1:1" }, { InstanceId("z"), "127.0.0.1:1" } });
    std::this_thread::sleep_for(Milliseconds(20));
    const auto refused = [&](const std::string &reason, const std::function<void(RawPeer &)> &act) {
        RawPeer peer(daemon.network->port());
        act(peer);
        BOOST_TEST(peer.closedByPeer());
        BOOST_TEST(daemon.count("refused_links_total{reason=\"" + reason + "\"}") > 0U, reason);
    };
    refused("wrong-version", [](RawPeer &peer) { peer.hello("a", peerProtocolVersion + 1); });
    refused("unexpected-instance", [](RawPeer &peer) { peer.hello("x"); });
    refused("unexpected-instance", [](RawPeer &peer) { peer.hello("z"); });
    refused("no-hello", [](RawPeer &peer) { peer.send(Ping { 1 }); });
    refused("handshake-timeout", [](RawPeer &) {});
    BOOST_TEST(daemon.recorder.events().empty());
    std::uint64_t losses = 0;
    const auto lost = [&](const std::string &counter, const std::function<void(RawPeer &)> &act) {
        RawPeer peer(daemon.network->port());
        peer.hello("a");
        BOOST_REQUIRE(peer.read().has_value());
        act(peer);
        BOOST_TEST(peer.closedByPeer());
        ++losses;
        BOOST_TEST(waitUntil([&] { return daemon.count(counter) > 0U; }), counter);
        BOOST_TEST(waitUntil([&] { return daemon.recorder.events().size() == 2 * losses; }));
    };
    lost("malformed_frames_total{reason=\"malformed\"}", [](RawPeer &peer) { peer.sendRaw("\xff\xff"); });
    lost("malformed_frames_total{reason=\"missing-field\"}", [](RawPeer &peer) { peer.sendRaw("\xa0"); });
    lost("malformed_frames_total{reason=\"websocket\"}",
         [](RawPeer &peer) { asio::write(peer.stream.next_layer(), asio::buffer("\xff\xff\xff\xff")); });
    lost("links_lost_total{reason=\"unexpected-hello\"}", [](RawPeer &peer) { peer.hello("a"); });
}

// Guards against waiting for ever on a peer that neither reads nor answers, on both sides of the handshake.
BOOST_AUTO_TEST_CASE(silentPeersAreNoticedWithinTheBound)
{
    Daemon daemon("m");
    daemon.expect("a");
    RawPeer peer(daemon.network->port());
    peer.hello("a");
    BOOST_REQUIRE(waitUntil([&] { return daemon.recorder.heard("up a"); }));
    const auto start = std::chrono::steady_clock::now();
    BOOST_REQUIRE(waitUntil([&] { return daemon.recorder.heard("lost a"); }));
    const auto elapsed = std::chrono::steady_clock::now() - start;
    BOOST_TEST((elapsed > Milliseconds(300) && elapsed < Milliseconds(800)));
    BOOST_TEST(daemon.count("links_lost_total{reason=\"silent\"}") == 1U);
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    daemon.expect("z", acceptor.local_endpoint().port());
    std::vector<tcp::socket> silent;
    auto accepted = std::async(std::launch::async, [&] {
        for (int connection = 0; connection < 3; ++connection) {
            silent.push_back(acceptor.accept());
        }
    });
    const bool redialled = accepted.wait_for(std::chrono::seconds(5)) == std::future_status::ready;
    daemon.network->stop();
    BOOST_REQUIRE(redialled);
}

// Guards against unbounded memory behind a peer that stops reading, and against frames of a lost link being replayed on
// the next one.
BOOST_AUTO_TEST_CASE(queueIsBoundedAndNeverReplayed)
{
    constexpr std::size_t bound = 1024 * 1024;
    Daemon daemon("m", [](PeerSettings &settings) {
        settings.queueBytes = bound;
        settings.answerBound = std::chrono::seconds(5);
    });
    daemon.expect("a");
    SubRequest request;
    request.body = std::string(64 * 1024, 'x');
    std::size_t accepted = 0;
    {
        RawPeer stalled(daemon.network->port());
        stalled.hello("a");
        BOOST_REQUIRE(waitUntil([&] { return daemon.network->linked(InstanceId("a")); }));
        SendResult result = SendResult::HandedOver;
        int full = 0;
        while (full < 50) {
            result = daemon.network->send(InstanceId("a"), request);
            if (result == SendResult::HandedOver) {
                accepted += request.body.size();
                full = 0;
            } else {
                BOOST_REQUIRE((result == SendResult::QueueFull));
                ++full;
                std::this_thread::sleep_for(Milliseconds(2));
            }
            // The kernel's buffers of both sides hold several MB on loopback.
            BOOST_REQUIRE(accepted < 16 * bound);
        }
    }
    BOOST_REQUIRE(waitUntil([&] { return daemon.recorder.heard("lost a"); }));
    BOOST_TEST((daemon.network->send(InstanceId("a"), request) == SendResult::Unreachable));
    RawPeer fresh(daemon.network->port());
    fresh.hello("a");
    BOOST_TEST(std::holds_alternative<Hello>(fresh.read().value()));
    BOOST_REQUIRE((daemon.network->send(InstanceId("a"), SubCancel { 77 }) == SendResult::HandedOver));
    const auto next = fresh.read();
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(std::holds_alternative<SubCancel>(*next));
    BOOST_TEST_MESSAGE("accepted " << accepted << " bytes before the queue was full");
}

// Guards against a removed peer keeping its link, and against stop() hanging or leaving the handler in use.
BOOST_AUTO_TEST_CASE(removedPeersLoseTheirLink)
{
    Daemon first("a");
    Daemon second("b");
    first.expect("b", second.network->port());
    second.expect("a");
    BOOST_REQUIRE(waitUntil([&] { return first.network->linked(InstanceId("b")); }));
    first.network->setPeers({});
    BOOST_TEST(waitUntil([&] { return first.recorder.heard("lost b") && second.recorder.heard("lost a"); }));
    BOOST_TEST(!first.network->linked(InstanceId("b")));
}

// Guards against an invalid or taken listening address that goes unnoticed.
BOOST_AUTO_TEST_CASE(listeningProblemsAreErrors)
{
    Daemon daemon("m");
    PeerSettings settings;
    settings.listenAddress = "nowhere";
    BOOST_TEST((PeerNetwork::create(settings, daemon.recorder, daemon.clock, daemon.counters).error()
                == std::errc::invalid_argument));
    settings.listenAddress = "127.0.0.1:" + std::to_string(daemon.network->port());
    BOOST_TEST((PeerNetwork::create(settings, daemon.recorder, daemon.clock, daemon.counters).error()
                == std::errc::address_in_use));
}

BOOST_AUTO_TEST_SUITE_END()

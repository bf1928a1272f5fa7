#pragma once

#include "core/random.h"
#include "peer/linkqueue.h"
#include "peer/peerendpointconfig.h"
#include "peer/peernetwork.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <unordered_map>
#include <websocketpp/client.hpp>
#include <websocketpp/server.hpp>

namespace Lycheewall
{

/**
 * The state of PeerNetwork. Handlers of the context refer to it without owning it, because it owns the context.
 * Thread safety: send(), setPeers(), linked() and stop() may be called from any thread; everything else runs on the
 * network's thread, so the order of handler calls is the order of events.
 */
class PeerNetwork::Core
{
public:
    Core(PeerSettings peerSettings, PeerHandler &peerHandler, const Clock &bootClock, Counters &counterRegistry);

    std::error_code listen();
    void run();
    void stop();
    void setPeers(std::vector<PeerAddress> addresses);
    SendResult send(const InstanceId &peer, const PeerMessage &message);
    bool linked(const InstanceId &peer) const;
    std::uint16_t port() const;

private:
    using Client = websocketpp::client<PeerEndpointConfig>;
    using Server = websocketpp::server<PeerEndpointConfig>;
    using ConnectionPtr = Client::connection_ptr;

    struct Link
    {
        ConnectionPtr connection;
        /// Known from the start for dialled links, after the handshake for accepted ones.
        InstanceId peer;
        bool dialled = false;
        bool open = false;
        bool up = false;
        TimePoint opened {};
        TimePoint heard {};
        TimePoint pinged {};
        std::uint64_t pings = 0;
        std::shared_ptr<LinkQueue> queue;
        std::unique_ptr<boost::asio::steady_timer> bufferTimer;
        bool bufferTimerRuns = false;
    };
    using LinkPtr = std::shared_ptr<Link>;

    struct Peer
    {
        std::string address;
        /// The link that is up or being dialled.
        LinkPtr link;
        Duration backoff {};
        std::unique_ptr<boost::asio::steady_timer> redial;
    };

    enum class Ending { Graceful, Reset };

    template<typename Role> void prepare(Role &role);
    bool dials(const InstanceId &peer) const;
    void applyPeers(const std::vector<PeerAddress> &addresses);
    void dial(const InstanceId &peer);
    void scheduleDial(const InstanceId &peer);

    void opened(const ConnectionPtr &connection);
    void closed(const ConnectionPtr &connection);
    void received(const ConnectionPtr &connection, const std::string &payload, bool binary);
    void handshake(const LinkPtr &link, const PeerMessage &message);
    std::string helloProblem(const LinkPtr &link, const Hello &hello) const;
    void linkIsUp(const LinkPtr &link, const Hello &hello);
    void refuse(const LinkPtr &link, const std::string &reason);
    void drop(const LinkPtr &link, const std::string &reason, Ending ending);
    void closeConnection(const LinkPtr &link, const std::string &reason, Ending ending);

    void write(const LinkPtr &link, const PeerMessage &message);
    void writeFrame(const LinkPtr &link, const std::string &frame);
    void flush(const InstanceId &peer);
    void flushLink(const LinkPtr &link);
    void updateBuffered(const LinkPtr &link);

    void startTick();
    void tick();
    void check(const LinkPtr &link, TimePoint now);
    void shutDown();
    void finishWhenClosed();

    const PeerSettings settings;
    PeerHandler &handler;
    const Clock &clock;
    Counters &counters;
    Counter &framesIn;
    Counter &framesOut;
    Counter &bytesIn;
    Counter &bytesOut;
    Random random;

    boost::asio::io_context context { 1 };
    Client client;
    Server server;
    boost::asio::steady_timer ticker;
    std::uint16_t listenPort = 0;
    std::map<const void *, LinkPtr> links;
    std::map<InstanceId, Peer> peers;
    std::set<const void *> closing;
    bool stopping = false;

    mutable std::mutex routesMutex;
    std::unordered_map<InstanceId, std::shared_ptr<LinkQueue>> routes;
};

}

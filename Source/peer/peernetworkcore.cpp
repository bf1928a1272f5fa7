#include "peer/peernetworkcore.h"

#include "core/log.h"
#include "runtime/socketaddress.h"

#include <boost/asio/post.hpp>

namespace Lycheewall
{

namespace
{

/// How often a connection that holds unwritten frames is asked how many are left.
constexpr Milliseconds bufferCheckPeriod(1);
constexpr long closeHandshakeBoundMs = 1000;
constexpr const char *linksLost = "lycheewall_peer_links_lost_total";
constexpr const char *malformedFrames = "lycheewall_peer_malformed_frames_total";
constexpr const char *refusedLinks = "lycheewall_peer_refused_links_total";
constexpr const char *refusedSends = "lycheewall_peer_refused_sends_total";

Log &log()
{
    static Log &logger = Log::component("peer");
    return logger;
}

}

PeerNetwork::Core::Core(PeerSettings peerSettings,
                        PeerHandler &peerHandler,
                        const Clock &bootClock,
                        Counters &counterRegistry)
    : settings(std::move(peerSettings))
    , handler(peerHandler)
    , clock(bootClock)
    , counters(counterRegistry)
    , framesIn(counterRegistry.counter("lycheewall_peer_frames_in_total"))
    , framesOut(counterRegistry.counter("lycheewall_peer_frames_out_total"))
    , bytesIn(counterRegistry.counter("lycheewall_peer_bytes_in_total"))
    , bytesOut(counterRegistry.counter("lycheewall_peer_bytes_out_total"))
    , random(settings.seed)
    , ticker(context)
{
    this->prepare(this->client);
    this->prepare(this->server);
    this->server.set_reuse_addr(true);
}

template<typename Role> void PeerNetwork::Core::prepare(Role &role)
{
    role.init_asio(&this->context);
    role.set_open_handshake_timeout(toMilliseconds(this->settings.answerBound));
    role.set_close_handshake_timeout(closeHandshakeBoundMs);
    role.set_open_handler(
        [this, &role](const websocketpp::connection_hdl &handle) { this->opened(role.get_con_from_hdl(handle)); });
    const auto ended = [this, &role](const websocketpp::connection_hdl &handle) {
        this->closed(role.get_con_from_hdl(handle));
    };
    role.set_close_handler(ended);
    role.set_fail_handler(ended);
    role.set_message_handler(
        [this, &role](const websocketpp::connection_hdl &handle, const typename Role::message_ptr &message) {
            const bool binary = message->get_opcode() == websocketpp::frame::opcode::binary;
            this->received(role.get_con_from_hdl(handle), message->get_payload(), binary);
        });
}

std::error_code PeerNetwork::Core::listen()
{
    const auto endpoint = parseAddress(this->settings.listenAddress);
    if (!endpoint) {
        return endpoint.error();
    }
    websocketpp::lib::error_code error;
    this->server.listen(endpoint.value(), error);
    if (error) {
        return std::make_error_code(std::errc::address_in_use);
    }
    this->server.start_accept(error);
    if (error) {
        return std::make_error_code(std::errc::io_error);
    }
    websocketpp::lib::asio::error_code unused;
    this->listenPort = this->server.get_local_endpoint(unused).port();
    return {};
}

void PeerNetwork::Core::run()
{
    this->startTick();
    for (;;) {
        try {
            this->context.run();
            return;
        } catch (const std::exception &fault) {
            // websocketpp throws on some uses of a connection that ends at the same moment. Other links go on.
            log().error(std::string("exception on the network thread: ") + fault.what());
        }
    }
}

void PeerNetwork::Core::stop()
{
    boost::asio::post(this->context, [this] { this->shutDown(); });
}

std::uint16_t PeerNetwork::Core::port() const
{
    return this->listenPort;
}

bool PeerNetwork::Core::linked(const InstanceId &peer) const
{
    const std::lock_guard lock(this->routesMutex);
    return this->routes.count(peer) > 0;
}

SendResult PeerNetwork::Core::send(const InstanceId &peer, const PeerMessage &message)
{
    std::shared_ptr<LinkQueue> queue;
    {
        const std::lock_guard lock(this->routesMutex);
        const auto route = this->routes.find(peer);
        if (route != this->routes.end()) {
            queue = route->second;
        }
    }
    if (!queue) {
        this->counters.counter(refusedSends, "unreachable").add();
        return SendResult::Unreachable;
    }
    Result<std::string> frame = PeerCodec::encodeChecked(message);
    if (!frame) {
        this->counters.counter(refusedSends, "oversized").add();
        log().error("message to " + peer.value() + " not sent: " + frame.error().message());
        return SendResult::QueueFull;
    }
    const LinkQueue::Pushed pushed = queue->push(std::move(frame).value());
    if (pushed.wake) {
        boost::asio::post(this->context, [this, peer] { this->flush(peer); });
    }
    if (pushed.result != SendResult::HandedOver) {
        const bool full = pushed.result == SendResult::QueueFull;
        this->counters.counter(refusedSends, full ? "queue-full" : "unreachable").add();
    }
    return pushed.result;
}

void PeerNetwork::Core::flush(const InstanceId &peer)
{
    const auto entry = this->peers.find(peer);
    if (entry != this->peers.end() && entry->second.link && entry->second.link->up) {
        this->flushLink(entry->second.link);
    }
}

void PeerNetwork::Core::flushLink(const LinkPtr &link)
{
    for (const std::string &frame : link->queue->take()) {
        this->writeFrame(link, frame);
    }
    this->updateBuffered(link);
}

void PeerNetwork::Core::updateBuffered(const LinkPtr &link)
{
    const std::size_t left = link->connection->get_buffered_amount();
    link->queue->setBuffered(left);
    if (left == 0 || link->bufferTimerRuns || this->links.count(link->connection.get()) == 0) {
        return;
    }
    link->bufferTimerRuns = true;
    link->bufferTimer->expires_after(bufferCheckPeriod);
    link->bufferTimer->async_wait([this, link](const boost::system::error_code &error) {
        link->bufferTimerRuns = false;
        if (!error) {
            this->updateBuffered(link);
        }
    });
}

void PeerNetwork::Core::write(const LinkPtr &link, const PeerMessage &message)
{
    this->writeFrame(link, PeerCodec::encode(message));
}

void PeerNetwork::Core::writeFrame(const LinkPtr &link, const std::string &frame)
{
    const auto error = link->connection->send(frame, websocketpp::frame::opcode::binary);
    if (!error) {
        this->framesOut.add();
        this->bytesOut.add(frame.size());
    }
}

void PeerNetwork::Core::received(const ConnectionPtr &connection, const std::string &payload, bool binary)
{
    const auto entry = this->links.find(connection.get());
    if (entry == this->links.end()) {
        return;
    }
    const LinkPtr link = entry->second;
    link->heard = this->clock.now();
    this->framesIn.add();
    this->bytesIn.add(payload.size());
    Result<PeerMessage> decoded = failure(make_error_code(PeerCodecError::Malformed));
    if (binary) {
        decoded = PeerCodec::decode(payload);
    }
    if (!decoded) {
        this->counters.counter(malformedFrames, decoded.error().message()).add();
        log().warn("malformed frame from " + link->peer.value() + ": " + decoded.error().message());
        this->drop(link, "malformed-frame", Ending::Graceful);
        return;
    }
    PeerMessage message = std::move(decoded).value();
    if (!link->up) {
        this->handshake(link, message);
    } else if (const auto *ping = std::get_if<Ping>(&message)) {
        this->write(link, Pong { ping->sequence });
    } else if (std::holds_alternative<Hello>(message)) {
        this->drop(link, "unexpected-hello", Ending::Graceful);
    } else if (const auto *pong = std::get_if<Pong>(&message)) {
        if (pong->sequence == link->pings) {
            this->handler.answered(link->peer, link->pinged);
        }
    } else {
        this->handler.message(link->peer, std::move(message));
    }
}

void PeerNetwork::Core::handshake(const LinkPtr &link, const PeerMessage &message)
{
    const auto *hello = std::get_if<Hello>(&message);
    if (hello == nullptr) {
        this->refuse(link, "no-hello");
        return;
    }
    const std::string problem = this->helloProblem(link, *hello);
    if (!problem.empty()) {
        this->refuse(link, problem);
        return;
    }
    this->linkIsUp(link, *hello);
}

std::string PeerNetwork::Core::helloProblem(const LinkPtr &link, const Hello &hello) const
{
    if (hello.protocol != peerProtocolVersion) {
        return "wrong-version";
    }
    if (link->dialled) {
        return hello.instance == link->peer ? "" : "unexpected-instance";
    }
    const bool expected = this->peers.count(hello.instance) > 0 && !this->dials(hello.instance);
    return expected ? "" : "unexpected-instance";
}

void PeerNetwork::Core::linkIsUp(const LinkPtr &link, const Hello &hello)
{
    Peer &peer = this->peers.at(hello.instance);
    const LinkPtr older = peer.link;
    if (older && older != link) {
        this->drop(older, "replaced", Ending::Reset);
    }
    link->peer = hello.instance;
    link->up = true;
    // The next check sends the first ping, so that the peer counts as heard soon.
    link->pinged = TimePoint();
    link->queue = std::make_shared<LinkQueue>(this->settings.queueBytes);
    link->bufferTimer = std::make_unique<boost::asio::steady_timer>(this->context);
    peer.link = link;
    peer.backoff = Duration::zero();
    if (!link->dialled) {
        this->write(link,
                    Hello { peerProtocolVersion,
                            this->settings.self,
                            this->settings.incarnation,
                            this->settings.zone,
                            this->settings.callerAddress });
    }
    {
        const std::lock_guard lock(this->routesMutex);
        this->routes[link->peer] = link->queue;
    }
    log().info("link with " + link->peer.value() + " is up");
    this->handler.linkUp(link->peer);
    this->handler.message(link->peer, hello);
}

void PeerNetwork::Core::refuse(const LinkPtr &link, const std::string &reason)
{
    this->counters.counter(refusedLinks, reason).add();
    log().warn("link refused in the handshake: " + reason);
    this->drop(link, reason, Ending::Graceful);
}

void PeerNetwork::Core::drop(const LinkPtr &link, const std::string &reason, Ending ending)
{
    if (this->links.erase(link->connection.get()) == 0) {
        return;
    }
    if (link->up) {
        const std::lock_guard lock(this->routesMutex);
        this->routes.erase(link->peer);
        link->queue->close();
        link->bufferTimer->cancel();
    }
    this->closeConnection(link, reason, ending);
    const auto peer = this->peers.find(link->peer);
    if (peer != this->peers.end() && peer->second.link == link) {
        peer->second.link = nullptr;
        this->scheduleDial(link->peer);
    }
    if (link->up) {
        this->counters.counter(linksLost, reason).add();
        log().warn("link with " + link->peer.value() + " lost: " + reason);
        this->handler.linkLost(link->peer);
    }
}

void PeerNetwork::Core::closeConnection(const LinkPtr &link, const std::string &reason, Ending ending)
{
    const auto state = link->connection->get_state();
    if (!link->open || state == websocketpp::session::state::closed) {
        return;
    }
    if (ending == Ending::Graceful) {
        websocketpp::lib::error_code error;
        link->connection->close(websocketpp::close::status::policy_violation, reason, error);
        return;
    }
    // Resets the connection, so that the kernel does not keep unsent data for a peer that may be silent for ever.
    boost::system::error_code ignored;
    link->connection->get_raw_socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    link->connection->terminate(websocketpp::lib::error_code());
}

}

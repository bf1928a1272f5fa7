#include "core/log.h"
#include "peer/peernetworkcore.h"

#include <boost/asio/post.hpp>

namespace Lycheewall
{

namespace
{

/// Time that stop() allows for writing out what is queued.
constexpr Milliseconds stopBound(250);
/// Checks of each link per answer bound; a silent link is noticed this much later at most.
constexpr int checksPerAnswerBound = 12;

}

bool PeerNetwork::Core::dials(const InstanceId &peer) const
{
    return this->settings.self < peer;
}

void PeerNetwork::Core::setPeers(std::vector<PeerAddress> addresses)
{
    boost::asio::post(this->context, [this, list = std::move(addresses)] {
        if (!this->stopping) {
            this->applyPeers(list);
        }
    });
}

void PeerNetwork::Core::applyPeers(const std::vector<PeerAddress> &addresses)
{
    std::map<InstanceId, std::string> wanted;
    for (const PeerAddress &entry : addresses) {
        if (entry.instance != this->settings.self) {
            wanted[entry.instance] = entry.address;
        }
    }
    for (auto entry = this->peers.begin(); entry != this->peers.end();) {
        const auto keep = wanted.find(entry->first);
        const bool moved = keep != wanted.end() && keep->second != entry->second.address && this->dials(entry->first);
        if (keep != wanted.end() && !moved) {
            entry->second.address = keep->second;
            ++entry;
            continue;
        }
        const LinkPtr link = entry->second.link;
        entry = this->peers.erase(entry);
        if (link) {
            this->drop(link, moved ? "address-changed" : "peer-removed", Ending::Graceful);
        }
    }
    for (const auto &[instance, address] : wanted) {
        const auto [entry, added] = this->peers.try_emplace(instance);
        if (added) {
            entry->second.address = address;
            entry->second.redial = std::make_unique<boost::asio::steady_timer>(this->context);
            this->dial(instance);
        }
    }
}

void PeerNetwork::Core::dial(const InstanceId &instance)
{
    const auto peer = this->peers.find(instance);
    if (this->stopping || peer == this->peers.end() || peer->second.link || !this->dials(instance)) {
        return;
    }
    websocketpp::lib::error_code error;
    const ConnectionPtr connection = this->client.get_connection("ws://" + peer->second.address + "/peer", error);
    if (error) {
        Log::component("peer").warn("address of " + instance.value() + " is not valid: " + peer->second.address);
        this->scheduleDial(instance);
        return;
    }
    auto link = std::make_shared<Link>();
    link->connection = connection;
    link->peer = instance;
    link->dialled = true;
    peer->second.link = link;
    this->links[connection.get()] = link;
    this->client.connect(connection);
}

void PeerNetwork::Core::scheduleDial(const InstanceId &instance)
{
    const auto entry = this->peers.find(instance);
    if (this->stopping || entry == this->peers.end() || !this->dials(instance)) {
        return;
    }
    Peer &peer = entry->second;
    peer.backoff = std::clamp(peer.backoff * 2, this->settings.firstBackoff, this->settings.longestBackoff);
    // Half of the delay is random, so that peers of a restarted daemon do not dial in step.
    const double share = 0.5 + this->random.uniformReal() / 2;
    peer.redial->expires_after(
        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(peer.backoff) * share));
    peer.redial->async_wait([this, instance](const boost::system::error_code &error) {
        if (!error) {
            this->dial(instance);
        }
    });
}

void PeerNetwork::Core::opened(const ConnectionPtr &connection)
{
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    auto entry = this->links.find(connection.get());
    const bool accepted = connection->is_server();
    if (this->stopping || (entry == this->links.end() && !accepted)) {
        // The peer was removed or moved while its connection was being established.
        connection->terminate(websocketpp::lib::error_code());
        return;
    }
    if (accepted) {
        entry = this->links.emplace(connection.get(), std::make_shared<Link>()).first;
        entry->second->connection = connection;
    }
    const LinkPtr link = entry->second;
    link->open = true;
    link->opened = this->clock.now();
    link->heard = link->opened;
    this->closing.insert(connection.get());
    if (link->dialled) {
        this->write(link,
                    Hello { peerProtocolVersion,
                            this->settings.self,
                            this->settings.incarnation,
                            this->settings.zone,
                            this->settings.callerAddress });
    }
}

void PeerNetwork::Core::closed(const ConnectionPtr &connection)
{
    this->closing.erase(connection.get());
    const auto entry = this->links.find(connection.get());
    if (entry != this->links.end()) {
        const LinkPtr link = entry->second;
        const auto error = connection->get_ec();
        const bool protocolFault = error.category() == websocketpp::processor::error::get_processor_category();
        if (protocolFault && link->open) {
            this->counters.counter("lycheewall_peer_malformed_frames_total", "websocket").add();
        }
        this->drop(link, protocolFault ? "malformed-frame" : "closed", Ending::Graceful);
    }
    this->finishWhenClosed();
}

void PeerNetwork::Core::startTick()
{
    const Duration period = std::min(this->settings.pingEvery / 4, this->settings.answerBound / checksPerAnswerBound);
    this->ticker.expires_after(std::max<Duration>(period, Milliseconds(1)));
    this->ticker.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->stopping) {
            this->tick();
            this->startTick();
        }
    });
}

void PeerNetwork::Core::tick()
{
    const TimePoint now = this->clock.now();
    std::vector<LinkPtr> present;
    present.reserve(this->links.size());
    for (const auto &[connection, link] : this->links) {
        present.push_back(link);
    }
    for (const LinkPtr &link : present) {
        if (link->open && this->links.count(link->connection.get()) > 0) {
            this->check(link, now);
        }
    }
}

void PeerNetwork::Core::check(const LinkPtr &link, TimePoint now)
{
    if (!link->up) {
        if (now - link->opened >= this->settings.answerBound) {
            this->counters.counter("lycheewall_peer_refused_links_total", "handshake-timeout").add();
            this->drop(link, "handshake-timeout", Ending::Reset);
        }
        return;
    }
    if (now - link->heard >= this->settings.answerBound) {
        this->drop(link, "silent", Ending::Reset);
        return;
    }
    if (now - link->pinged >= this->settings.pingEvery) {
        link->pinged = now;
        this->write(link, Ping { ++link->pings });
    }
}

void PeerNetwork::Core::shutDown()
{
    this->stopping = true;
    this->ticker.cancel();
    websocketpp::lib::error_code ignored;
    this->server.stop_listening(ignored);
    for (auto &[instance, peer] : this->peers) {
        peer.redial->cancel();
    }
    const auto present = this->links;
    for (const auto &[connection, link] : present) {
        if (link->up) {
            this->flushLink(link);
        }
        this->drop(link, "stopped", Ending::Graceful);
    }
    this->ticker.expires_after(stopBound);
    this->ticker.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->context.stop();
        }
    });
    this->finishWhenClosed();
}

void PeerNetwork::Core::finishWhenClosed()
{
    if (this->stopping && this->closing.empty()) {
        this->context.stop();
    }
}

}

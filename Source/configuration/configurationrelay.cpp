#include "configuration/configurationrelay.h"

namespace Lycheewall
{

namespace
{

std::optional<ValueName> valueNameOf(const std::string &text)
{
    for (const ValueName name : { ValueName::Catalogue, ValueName::Instances }) {
        if (valueNameText(name) == text) {
            return name;
        }
    }
    return std::nullopt;
}

}

ConfigurationRelay::ConfigurationRelay(ConfigurationStore &configurationStore,
                                       PeerTransport &peerTransport,
                                       const Clock &timeSource,
                                       Counters &counterRegistry)
    : store(configurationStore)
    , transport(peerTransport)
    , clock(timeSource)
    , counters(counterRegistry)
{
}

void ConfigurationRelay::handle(const InstanceId &from, const Gossip &gossip)
{
    this->askIfNewer(from, ValueName::Catalogue, gossip.catalogueVersion);
    this->askIfNewer(from, ValueName::Instances, gossip.listVersion);
}

void ConfigurationRelay::askIfNewer(const InstanceId &peer, ValueName name, ValueVersion announced)
{
    const ValueVersion have = this->store.version(name);
    if (!(have < announced)) {
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        TimePoint &asked = this->askedAt.at(static_cast<std::size_t>(name));
        const TimePoint now = this->clock.now();
        if (asked != TimePoint() && now - asked < askAgainAfter) {
            return;
        }
        asked = now;
    }
    this->counters.counter("lycheewall_configuration_peer_requests_total").add();
    this->transport.send(peer, ConfigurationRequest { std::string(valueNameText(name)), have });
}

void ConfigurationRelay::handle(const InstanceId &from, const ConfigurationRequest &request)
{
    const auto name = valueNameOf(request.name);
    if (!name) {
        return;
    }
    const auto value = this->store.value(*name);
    if (value && request.have < value->version) {
        this->transport.send(from, ConfigurationValue { request.name, value->version, value->text });
    }
}

void ConfigurationRelay::handle(const InstanceId &from, const ConfigurationValue &value)
{
    const auto name = valueNameOf(value.name);
    if (!name) {
        return;
    }
    const auto accepted = this->store.offer(*name, { value.version, value.text }, from.value());
    if (accepted) {
        this->counters.counter("lycheewall_configuration_from_peers_total").add();
    }
}

}

#include "fleet/relayserver.h"

#include "fleet/datagramkind.h"
#include "forwarding/forwardingtimes.h"
#include "forwarding/servicecall.h"
#include "forwarding/topmerge.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// The last answer leaves so early that the asking instance still has it at its objective.
constexpr Duration wayBack = callerRoundTrip + interZoneRoundTrip;

const Route *routeNamed(const RouteTable &table, const std::string &name)
{
    for (const Route &route : table.routes()) {
        if (route.name == name) {
            return &route;
        }
    }
    return nullptr;
}

CallerRequestPtr requestOf(const RelayRequest &question, TimePoint now)
{
    const auto request = std::make_shared<CallerRequest>();
    static_cast<RequestMessage &>(*request) = question.message;
    request->arrivedAt = now - Milliseconds(question.elapsedMs);
    request->deadline = now + Milliseconds(question.remainingMs);
    return request;
}

}

/// The parts of one question.
class RelayServer::Collection : public std::enable_shared_from_this<Collection>
{
public:
    Collection(ForwardingContext &forwardingContext, DatagramSender &datagrams, const RelayRequest &relayQuestion)
        : context(forwardingContext)
        , sender(datagrams)
        , question(relayQuestion)
    {
    }

    void start(const AdmittedRequest &request)
    {
        const auto self = this->shared_from_this();
        this->admitted = request;
        this->open = this->question.services.size();
        for (const ServiceId &service : this->question.services) {
            this->calls.push_back(
                ServiceCall::start(this->context, request, service, [self, service](const ServiceResult &result) {
                    self->partEnded(service, result);
                }));
        }
        if (this->open == 0) {
            return;
        }
        const TimePoint now = this->context.clock.now();
        const TimePoint objective = request.request->arrivedAt + request.route->latencyObjective;
        const Duration early = ServiceCall::hedgeDelay(this->context, request);
        this->earlyTimer = this->context.timers.after(early, [self] { self->send(false); });
        const TimePoint end = std::max(objective - wayBack, now);
        this->endTimer = this->context.timers.after(end - now, [self] { self->sendAvailable(); });
        this->deadlineTimer = this->context.timers.after(request.deadline - now, [self] { self->abandon(); });
    }

    void abandon()
    {
        const auto self = this->shared_from_this();
        for (const auto &call : this->calls) {
            call->cancel();
        }
        this->end();
    }

private:
    void partEnded(const ServiceId &service, const ServiceResult &result)
    {
        --this->open;
        if (result.success) {
            this->parts.push_back({ service, result.response->signature });
            this->bodies.push_back(result.response->body);
        }
        if (this->open == 0) {
            this->send(true);
            this->end();
        }
    }

    void send(bool isLast)
    {
        RelayResponse answer;
        answer.shards = std::move(this->parts);
        const std::vector<std::string_view> views(this->bodies.begin(), this->bodies.end());
        answer.records = mergeTopRecords(views, this->admitted.route->maxRecords);
        answer.isFinal = isLast;
        this->parts.clear();
        this->bodies.clear();
        this->sender.send(this->question.replyAddress,
                          DatagramKind::relayResponse + encodeRelayResponse(this->question.id, answer));
    }

    /// Work on missing parts goes on: a query may wait for its coverage beyond the objective.
    void sendAvailable()
    {
        if (!this->parts.empty()) {
            this->send(false);
        }
    }

    void end()
    {
        this->earlyTimer.reset();
        this->endTimer.reset();
        this->deadlineTimer.reset();
        this->calls.clear();
    }

    ForwardingContext &context;
    DatagramSender &sender;
    RelayRequest question;
    AdmittedRequest admitted;
    std::vector<std::shared_ptr<ServiceCall>> calls;
    std::size_t open = 0;
    std::vector<RelayResponse::Shard> parts;
    std::vector<std::string> bodies;
    Subscription earlyTimer;
    Subscription endTimer;
    Subscription deadlineTimer;
};

RelayServer::RelayServer(ForwardingContext &forwardingContext,
                         const Forwarder &tableOwner,
                         DatagramSender &datagramSender)
    : context(forwardingContext)
    , forwarder(tableOwner)
    , sender(datagramSender)
{
}

void RelayServer::refuse(const RelayRequest &question)
{
    RelayResponse refusal;
    refusal.isFinal = true;
    refusal.isRefused = true;
    this->context.counters.counter("lycheewall_relay_refusals_total").add();
    this->sender.send(question.replyAddress, DatagramKind::relayResponse + encodeRelayResponse(question.id, refusal));
}

void RelayServer::handleCancel(const std::string &bytes)
{
    const auto decoded = decodeRelayCancel(bytes);
    if (!decoded) {
        this->context.counters.counter("lycheewall_fleet_bad_messages_total", decoded.error().message()).add();
        return;
    }
    const auto entry = this->collections.find({ decoded.value().replyAddress, decoded.value().id });
    if (entry == this->collections.end()) {
        return;
    }
    if (const auto collection = entry->second.lock()) {
        collection->abandon();
    }
    this->collections.erase(entry);
}

void RelayServer::handleRequest(const std::string &bytes)
{
    const auto decoded = decodeRelayRequest(bytes);
    if (!decoded) {
        this->context.counters.counter("lycheewall_fleet_bad_messages_total", decoded.error().message()).add();
        return;
    }
    const RelayRequest &question = decoded.value();
    const auto &table = this->forwarder.table();
    const bool sameTable = table && table->version() == question.tableVersion;
    const Route *route = sameTable ? routeNamed(*table, question.route) : nullptr;
    if (route == nullptr || question.remainingMs <= 0) {
        this->refuse(question);
        return;
    }
    AdmittedRequest admitted;
    admitted.request = requestOf(question, this->context.clock.now());
    admitted.table = table;
    admitted.route = route;
    admitted.organisation = question.organisation;
    admitted.deadline = admitted.request->deadline;
    // The asking instance makes the last attempt if a part does not come in time.
    admitted.attemptLimit = std::max(1, route->maxAttempts - 1);
    this->forgetEnded();
    const auto collection = std::make_shared<Collection>(this->context, this->sender, question);
    this->collections[{ question.replyAddress, question.id }] = collection;
    collection->start(admitted);
}

void RelayServer::forgetEnded()
{
    for (auto entry = this->collections.begin(); entry != this->collections.end();) {
        entry = entry->second.expired() ? this->collections.erase(entry) : std::next(entry);
    }
}

}

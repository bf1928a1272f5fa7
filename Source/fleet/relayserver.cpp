#include "fleet/relayserver.h"

#include "fleet/datagramkind.h"
#include "forwarding/forwardingtimes.h"
#include "forwarding/retrypolicy.h"
#include "forwarding/servicecall.h"
#include "forwarding/shardrecords.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// The available shard responses are sent this long before the objective, so that the requesting instance can reply on
/// time.
constexpr Duration responseMargin = callerRoundTrip + interZoneRoundTrip;

/// How long a relay request is remembered after it has ended: longer than the network delays a datagram.
constexpr Duration duplicateRetention = std::chrono::seconds(5);

const Route *findRoute(const RouteTable &table, const std::string &name)
{
    for (const Route &route : table.routes()) {
        if (route.name == name) {
            return &route;
        }
    }
    return nullptr;
}

CallerRequestPtr makeCallerRequest(const RelayRequest &relayRequest, TimePoint now)
{
    const auto request = std::make_shared<CallerRequest>();
    static_cast<RequestMessage &>(*request) = relayRequest.message;
    request->arrivedAt = now - Milliseconds(relayRequest.elapsedMs);
    request->deadline = now + Milliseconds(relayRequest.remainingMs);
    return request;
}

}

/// The shard calls and responses of one relay request. Kept alive by the callbacks of its calls and timers.
class RelayServer::RelayedQuery : public std::enable_shared_from_this<RelayedQuery>, private ResponseMemory::Holder
{
public:
    RelayedQuery(ForwardingContext &forwardingContext,
                 DatagramSender &datagrams,
                 const RelayRequest &receivedRequest,
                 const AdmittedRequest &request)
        : ResponseMemory::Holder(ResponseMemory::Content::CompleteResponses)
        , context(forwardingContext)
        , sender(datagrams)
        , relayRequest(receivedRequest)
        , admitted(request)
        , records(request.route->maxRecords)
        , memory(forwardingContext.responseMemory)
    {
    }
    ~RelayedQuery() override
    {
        this->memory->update(*this, 0);
    }
    RelayedQuery(const RelayedQuery &) = delete;
    RelayedQuery &operator=(const RelayedQuery &) = delete;

    void start()
    {
        const auto self = this->shared_from_this();
        const AdmittedRequest &request = this->admitted;
        this->outstanding = this->relayRequest.services.size();
        for (const ServiceId &service : this->relayRequest.services) {
            this->calls.push_back(ServiceCall::start(
                this->context, request, CallTarget(service), [self, service](const ServiceResult &result) {
                    self->handleShardResult(service, result);
                }));
        }
        if (this->outstanding == 0) {
            return;
        }
        const TimePoint now = this->context.clock.now();
        const TimePoint objective = request.request->arrivedAt + request.route->latencyObjective;
        const Duration firstResponseDelay = hedgeDelay(this->context, request);
        this->firstResponseTimer
            = this->context.timers.after(firstResponseDelay, [self] { self->sendResponse(false); });
        const TimePoint lastResponseAt = std::max(objective - responseMargin, now);
        this->objectiveTimer
            = this->context.timers.after(lastResponseAt - now, [self] { self->sendPartialResponse(); });
        this->deadlineTimer = this->context.timers.after(request.deadline - now, [self] { self->cancel(); });
    }

    void cancel()
    {
        const auto self = this->shared_from_this();
        for (const auto &call : this->calls) {
            call->cancel();
        }
        this->releaseRecords();
        this->finish();
    }

private:
    void handleShardResult(const ServiceId &service, const ServiceResult &result)
    {
        --this->outstanding;
        if (result.success) {
            this->records.add(result.response->body);
            this->shards.push_back({ service, result.response->signature });
        }
        if (this->outstanding == 0) {
            this->sendResponse(true);
            this->finish();
            return;
        }
        this->memory->update(*this, this->records.bytes());
    }

    void releaseRecords()
    {
        this->records.clear();
        this->memory->update(*this, 0);
    }

    /// Sends the shard responses early because memory is short. Calls for missing shards continue.
    void giveUpResponse() override
    {
        this->sendResponse(false);
    }

    void sendResponse(bool isFinal)
    {
        RelayResponse response;
        response.shards = std::move(this->shards);
        response.records = this->records.merged();
        response.isFinal = isFinal;
        this->shards.clear();
        this->releaseRecords();
        this->sender.send(this->relayRequest.replyAddress,
                          DatagramKind::relayResponse + encodeRelayResponse(this->relayRequest.id, response));
    }

    /// Calls for missing shards continue, as a query may wait beyond its objective for the required coverage.
    void sendPartialResponse()
    {
        if (!this->shards.empty()) {
            this->sendResponse(false);
        }
    }

    void finish()
    {
        this->firstResponseTimer.reset();
        this->objectiveTimer.reset();
        this->deadlineTimer.reset();
        this->calls.clear();
    }

    ForwardingContext &context;
    DatagramSender &sender;
    RelayRequest relayRequest;
    AdmittedRequest admitted;
    std::vector<std::shared_ptr<ServiceCall>> calls;
    std::size_t outstanding = 0;
    /// The shards that have responded since the last response was sent, and their records.
    std::vector<RelayResponse::Shard> shards;
    ShardRecords records;
    std::shared_ptr<ResponseMemory> memory;
    Subscription firstResponseTimer;
    Subscription objectiveTimer;
    Subscription deadlineTimer;
};

RelayServer::RelayServer(ForwardingContext &forwardingContext,
                         const Forwarder &requestForwarder,
                         DatagramSender &datagramSender)
    : context(forwardingContext)
    , forwarder(requestForwarder)
    , sender(datagramSender)
{
}

void RelayServer::sendRefusal(const RelayRequest &relayRequest)
{
    RelayResponse refusal;
    refusal.isFinal = true;
    refusal.isRefused = true;
    this->context.counters.counter("lycheewall_relay_refusals_total").add();
    const auto &table = this->forwarder.table();
    this->context.requestLog.write(
        *makeCallerRequest(relayRequest, this->context.clock.now()),
        "relay-refused",
        "route=" + relayRequest.route + " requested-version=" + std::to_string(relayRequest.tableVersion)
            + " version=" + (table ? std::to_string(table->version()) : std::string("none"))
            + " remaining-ms=" + std::to_string(relayRequest.remainingMs) + " from=" + relayRequest.replyAddress);
    this->sender.send(relayRequest.replyAddress,
                      DatagramKind::relayResponse + encodeRelayResponse(relayRequest.id, refusal));
}

void RelayServer::handleCancel(const std::string &bytes)
{
    const auto decoded = decodeRelayCancel(bytes);
    if (!decoded) {
        this->context.counters.counter("lycheewall_fleet_bad_messages_total", decoded.error().message()).add();
        return;
    }
    const RequestKey key { decoded.value().replyAddress, decoded.value().id };
    // Remembered also if the request is unknown: it may arrive after its cancellation.
    this->remember(key);
    if (const auto query = this->receivedRequests[key].query.lock()) {
        query->cancel();
    }
}

bool RelayServer::remember(const RequestKey &key)
{
    this->forgetOldRequests();
    const bool isNew
        = this->receivedRequests.try_emplace(key, ReceivedRequest { this->context.clock.now(), {} }).second;
    if (isNew) {
        this->arrivalOrder.push_back(key);
    }
    return isNew;
}

std::uint64_t RelayServer::requestsReceived() const
{
    return this->received;
}

std::size_t RelayServer::rememberedRequests() const
{
    return this->receivedRequests.size();
}

void RelayServer::handleRequest(const std::string &bytes)
{
    const auto decoded = decodeRelayRequest(bytes);
    if (!decoded) {
        this->context.counters.counter("lycheewall_fleet_bad_messages_total", decoded.error().message()).add();
        return;
    }
    const RelayRequest &relayRequest = decoded.value();
    const RequestKey key { relayRequest.replyAddress, relayRequest.id };
    if (!this->remember(key)) {
        this->context.counters.counter("lycheewall_relay_duplicates_total").add();
        return;
    }
    ++this->received;
    const auto &table = this->forwarder.table();
    const bool hasSameVersion = table && table->version() == relayRequest.tableVersion;
    const Route *route = hasSameVersion ? findRoute(*table, relayRequest.route) : nullptr;
    if (route == nullptr || relayRequest.remainingMs <= 0) {
        this->sendRefusal(relayRequest);
        return;
    }
    AdmittedRequest admitted;
    admitted.request = makeCallerRequest(relayRequest, this->context.clock.now());
    admitted.table = table;
    admitted.route = route;
    admitted.organisation = relayRequest.organisation;
    admitted.deadline = admitted.request->deadline;
    // The requesting instance makes the last attempt if a shard response does not arrive on time.
    admitted.attemptLimit = std::max(1, route->maxAttempts - 1);
    const auto query = std::make_shared<RelayedQuery>(this->context, this->sender, relayRequest, admitted);
    this->receivedRequests[key].query = query;
    query->start();
}

void RelayServer::forgetOldRequests()
{
    const TimePoint oldest = this->context.clock.now() - duplicateRetention;
    while (!this->arrivalOrder.empty()) {
        const auto received = this->receivedRequests.find(this->arrivalOrder.front());
        if (received->second.receivedAt >= oldest || !received->second.query.expired()) {
            return;
        }
        this->receivedRequests.erase(received);
        this->arrivalOrder.pop_front();
    }
}

}

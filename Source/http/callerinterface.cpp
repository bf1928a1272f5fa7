#include "http/callerinterface.h"

#include <boost/fiber/future.hpp>
#include <nlohmann/json.hpp>

namespace Lycheewall
{

using nlohmann::json;

namespace
{

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view poolPrefix = "/v1/pools/";
constexpr std::string_view openPrefix = "/v1/open/";

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> keyOf(const HttpRequest &request)
{
    if (!request.authorization || !startsWith(*request.authorization, bearerPrefix)) {
        return std::nullopt;
    }
    return request.authorization->substr(bearerPrefix.size());
}

json instanceJson(const ReadyInstance &instance)
{
    return { { "instance", instance.id.value() },
             { "zone", instance.zone.value() },
             { "address", instance.callerAddress } };
}

}

CallerInterface::CallerInterface(const CallerInterfaceContext &interfaceContext)
    : context(interfaceContext)
{
}

HttpResponse CallerInterface::handle(const HttpRequest &request)
{
    const std::string path = pathOf(request.target);
    const bool isGet = request.method == "GET";
    if (path == "/v1/health") {
        return isGet ? HttpResponse { 200, "application/json", "{\"status\":\"up\"}", {} }
                     : this->refuse(Refusal::MethodNotAllowed);
    }
    if (path == "/v1/ready") {
        return isGet ? this->readiness() : this->refuse(Refusal::MethodNotAllowed);
    }
    if (path == "/v1/addresses") {
        return isGet ? this->addresses() : this->refuse(Refusal::MethodNotAllowed);
    }
    if (startsWith(path, poolPrefix)) {
        const std::string rest = path.substr(poolPrefix.size());
        const auto slash = rest.find('/');
        if (slash != std::string::npos) {
            return this->handlePool(request, rest.substr(0, slash), rest.substr(slash + 1));
        }
    }
    if (startsWith(path, openPrefix)) {
        if (!isGet) {
            return this->refuse(Refusal::MethodNotAllowed);
        }
        CallerRequest opened;
        opened.pool = PoolId(path.substr(openPrefix.size()));
        opened.query = false;
        opened.deadline = this->context.deadlines.usual;
        opened.body = "null";
        return this->run(std::move(opened));
    }
    return this->refuse(Refusal::UnknownRoute);
}

HttpResponse CallerInterface::handlePool(const HttpRequest &request, const std::string &pool, const std::string &action)
{
    if (action != "query" && action != "request") {
        return this->refuse(Refusal::UnknownRoute);
    }
    if (request.method != "POST") {
        return this->refuse(Refusal::MethodNotAllowed);
    }
    auto read = action == "query" ? CallerJson::readQuery(request.body, this->context.deadlines)
                                  : CallerJson::readSingle(request.body, this->context.deadlines);
    if (!read) {
        this->context.counters.countRefusal(Refusal::BadRequest);
        return CallerJson::badBody(this->newRequestId(), read.error());
    }
    CallerRequest parsed = std::move(read.value());
    parsed.pool = PoolId(pool);
    parsed.key = keyOf(request);
    return this->run(std::move(parsed));
}

HttpResponse CallerInterface::run(CallerRequest request)
{
    request.id = this->newRequestId();
    const bool query = request.query;
    const bool idempotent = request.idempotent;
    auto promise = std::make_shared<boost::fibers::promise<CallerAnswer>>();
    auto future = promise->get_future();
    this->context.coordinator.run(std::move(request),
                                  [promise](CallerAnswer answer) { promise->set_value(std::move(answer)); });
    const CallerAnswer answer = future.get();
    if (answer.refusal != Refusal::None) {
        return CallerJson::refusal(answer, idempotent);
    }
    return CallerJson::answer(answer, query);
}

HttpResponse CallerInterface::addresses() const
{
    json same = json::array();
    json others = json::array();
    for (const ReadyInstance &instance : this->context.peers.ready()) {
        json &list = instance.zone == this->context.zone ? same : others;
        list.push_back(instanceJson(instance));
    }
    for (json &instance : others) {
        same.push_back(std::move(instance));
    }
    HttpResponse response;
    response.status = same.empty() ? 503 : 200;
    response.body = json { { "keep-ms", this->context.keep.count() }, { "addresses", same } }.dump();
    return response;
}

HttpResponse CallerInterface::readiness() const
{
    const bool ready = this->context.coordinator.isReady();
    HttpResponse response;
    response.status = ready ? 200 : 503;
    response.body = json { { "ready", ready } }.dump();
    return response;
}

HttpResponse CallerInterface::refuse(Refusal refusal)
{
    this->context.counters.countRefusal(refusal);
    CallerAnswer answer;
    answer.id = this->newRequestId();
    answer.refusal = refusal;
    return CallerJson::refusal(answer, true);
}

RequestId CallerInterface::newRequestId()
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr int bitsPerDigit = 4;
    std::uint64_t bits = this->context.random.bits();
    std::string text = this->context.self.value() + "-";
    for (std::size_t count = 0; count < sizeof(bits) * 2; ++count) {
        text += digits[bits % 16];
        bits >>= bitsPerDigit;
    }
    return RequestId(text);
}

}

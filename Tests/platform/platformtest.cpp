#include "entrydecoder.h"
#include "platformcallercodec.h"
#include "platformendpointcodec.h"
#include "platformsettings.h"
#include "storefeed.h"
#include "wirenames.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

namespace Lycheewall::Platform
{

BOOST_AUTO_TEST_SUITE(PlatformTest)

namespace
{

namespace http = boost::beast::http;

const char *const configuration = R"({"Version":7,
 "Routes":[
  {"Name":"all","Host":"h.example","Prefix":"/a/","Kind":"idempotent","TimeoutMs":500,"TargetLatencyMs":50,
   "Priority":2,"FanoutServices":["s1","s2"],"MaxAttempts":2,"TopK":5,"MinShardRatio":0.75,"Public":false},
  {"Name":"split","Host":"h.example","Prefix":"/b/","Kind":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":400,
   "Backends":[{"Service":"s1","Weight":1},{"Service":"s2","Weight":3}],"MaxAttempts":3,"Public":true}],
 "Services":[{"Name":"s1","HealthCheckPath":"/health","MaxConnections":26,"WarmupS":3.0,"WarmupPerS":2.5},
  {"Name":"s2","MaxConnections":26}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":81,"Burst":80}]})";

const char *const server = R"({"Service":"s1","Address":"10.0.0.9:8080","Zone":"z","Version":"v1","Slots":2,
 "State":"ready","WarmupLeftMs":1500,"Sequence":4,"born":1700000000123})";

FeedChange decode(const std::string &key, const std::string &value, bool deleted = false)
{
    return StoreEntryDecoder().decode({ key, value, 1, deleted });
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

HttpRequestMessage callerRequest()
{
    HttpRequestMessage message(http::verb::get, "/a/x?q=1", 11);
    message.set(http::field::host, "H.example:80");
    message.set(Names::Header::attemptId, "id-1");
    message.set(Names::Header::deadlineMs, "500");
    message.set(http::field::authorization, "Token k1");
    message.set(Names::Header::tenant, "forged");
    message.set(Names::Header::targetInstance, "forged");
    message.set("X-Kept", "kept");
    message.set(http::field::connection, "keep-alive, X-Hop");
    message.set("X-Hop", "hop");
    return message;
}

bool containsField(const HeaderList &headers, const std::string &name)
{
    for (const auto &[field, value] : headers) {
        if (boost::beast::iequals(field, name)) {
            return true;
        }
    }
    return false;
}

}

// Guards against configuration fields that are parsed into the wrong member or with the wrong unit.
BOOST_AUTO_TEST_CASE(parsesConfigurationFields)
{
    const FeedChange change = decode("op/config", configuration);
    BOOST_REQUIRE(std::holds_alternative<RouteTableChange>(change));
    const RouteTable &table = *std::get<RouteTableChange>(change).table;
    BOOST_TEST(table.version() == 7U);
    BOOST_TEST((table.limits().idleTimeout == std::chrono::seconds(15)));
    const Route *all = table.match("h.example", "/a/x");
    BOOST_REQUIRE(all != nullptr);
    BOOST_TEST(all->shards.size() == 2U);
    BOOST_TEST(all->maxRecords == 5U);
    BOOST_TEST(all->minShardRatio == 0.75);
    BOOST_TEST((all->latencyObjective == Milliseconds(50)));
    BOOST_TEST((all->timeout == Milliseconds(500)));
    BOOST_TEST((all->idempotency == Idempotency::Idempotent));
    const Route *split = table.match("h.example", "/b/");
    BOOST_TEST((split->idempotency == Idempotency::NonIdempotent));
    BOOST_TEST(split->isPublic);
    BOOST_TEST(split->maxAttempts == 3);
    BOOST_TEST(split->services.at(1).weight == 3);
    BOOST_TEST(table.findService(ServiceId("s1"))->warmupRequestsPerSecond == 2.5);
    BOOST_TEST((table.findOrganisationByKey("k2")->id == OrganisationId("t")));
    BOOST_TEST(table.findOrganisationByKey("k3") == nullptr);
}

// Guards against an empty list of organisations that is taken for a configuration without API keys.
BOOST_AUTO_TEST_CASE(emptyListOfOrganisationsStillRequiresKeys)
{
    const std::string text = configuration;
    const std::size_t list = text.find(",\n \"Tenants\"");
    const auto requiresKeys = [](const std::string &value) {
        return std::get<RouteTableChange>(decode("op/config", value)).table->requiresApiKeys();
    };
    BOOST_TEST(requiresKeys(text));
    BOOST_TEST(requiresKeys(text.substr(0, list) + R"(,"Tenants":[]})"));
    BOOST_TEST(requiresKeys(text.substr(0, list) + R"(,"Tenants":null})"));
    BOOST_TEST(!requiresKeys(text.substr(0, list) + "}"));
}

// Guards against an invalid or deleted configuration that takes effect: malformed JSON, a field of the wrong type, or a
// route to an unknown service.
BOOST_AUTO_TEST_CASE(ignoresInvalidConfigurations)
{
    for (const std::string &bad : { std::string("no json"),
                                    std::string("[]"),
                                    replaced(configuration, "\"Version\":7", "\"Version\":\"7\""),
                                    replaced(configuration, "[\"s1\",\"s2\"]", "[\"s9\"]") }) {
        BOOST_TEST(std::holds_alternative<IgnoredChange>(decode("op/config", bad)));
    }
    BOOST_TEST(std::holds_alternative<IgnoredChange>(decode("op/config", "", true)));
}

// Guards against requests to endpoints from malformed entries, which other programs may write to the store, and
// against endpoint and evacuation entries that are misread.
BOOST_AUTO_TEST_CASE(parsesServerEntriesAndIgnoresUnknownEntries)
{
    const FeedChange change = decode("servers/i-1", server);
    BOOST_REQUIRE(std::holds_alternative<EndpointUpdate>(change));
    const EndpointRecord &record = std::get<EndpointUpdate>(change).record;
    BOOST_TEST((record.id == EndpointId("i-1")));
    BOOST_TEST((record.remainingWarmup == Milliseconds(1500)));
    BOOST_TEST(record.processStartMs == 1700000000123);
    BOOST_TEST(!record.draining);
    const FeedChange draining = decode("servers/i-1", replaced(server, "\"ready\"", "\"draining\""));
    BOOST_TEST(std::get<EndpointUpdate>(draining).record.draining);
    BOOST_TEST(std::holds_alternative<EndpointRemoval>(decode("servers/i-1", "", true)));
    for (const std::string &bad : { replaced(server, "\"ready\"", "\"asleep\""),
                                    replaced(server, "\"Slots\":2", "\"Slots\":\"2\""),
                                    replaced(server, "\"Zone\":\"z\",", ""),
                                    std::string("\xff\xfe") }) {
        BOOST_TEST(std::holds_alternative<IgnoredChange>(decode("servers/i-2", bad)));
    }
    BOOST_TEST(std::holds_alternative<ZoneEvacuation>(decode("op/evacuate/z", "{}")));
    BOOST_TEST(std::holds_alternative<ZoneEvacuationEnd>(decode("op/evacuate/z", "", true)));
    BOOST_TEST(std::holds_alternative<IgnoredChange>(decode("something/else", "{}")));
}

// Guards against a deadline that overflows when it is added to the current time: the request would be refused.
BOOST_AUTO_TEST_CASE(limitsDeadlines)
{
    const TimePoint now { std::chrono::seconds(100) };
    HttpRequestMessage message = callerRequest();
    for (const char *deadline : { "9300000000000", "9223372036854775807", "99999999999999999999" }) {
        message.set(Names::Header::deadlineMs, deadline);
        const auto request = PlatformCallerCodec().decode(message, now);
        BOOST_TEST((request.value()->deadline == now + std::chrono::hours(24)), deadline);
    }
}

// Guards against a request that cannot be forwarded and gets no reply.
BOOST_AUTO_TEST_CASE(rejectsTraceWithBody)
{
    HttpRequestMessage message = callerRequest();
    message.method(http::verb::trace);
    BOOST_TEST(PlatformCallerCodec().decode(message, TimePoint()).has_value());
    message.body() = "body";
    const auto refused = PlatformCallerCodec().decode(message, TimePoint());
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error() == Refusal::BadRequest));
}

// Guards against an API key, an organisation or target endpoint forged by the caller, or a hop-by-hop field that
// reaches an endpoint.
BOOST_AUTO_TEST_CASE(doesNotForwardCredentialsOrHopByHopFields)
{
    const TimePoint now(std::chrono::seconds(9));
    const auto request = PlatformCallerCodec().decode(callerRequest(), now);
    BOOST_REQUIRE(request);
    BOOST_TEST(request.value()->host == "h.example");
    BOOST_TEST(request.value()->apiKey.value() == "k1");
    BOOST_TEST((request.value()->deadline == now + Milliseconds(500)));
    EndpointCall call;
    call.request = request.value();
    call.organisation = OrganisationId("t");
    call.deadline = now + Milliseconds(450);
    call.endpoint = std::make_shared<ServiceEndpoint>();
    call.endpoint->record.id = EndpointId("i-1");
    const HttpRequestMessage sent = PlatformEndpointCodec().encode(call, now + Milliseconds(50));
    BOOST_TEST(sent.target() == "/a/x?q=1");
    BOOST_TEST(sent[Names::Header::attemptId] == "id-1");
    BOOST_TEST(sent[Names::Header::deadlineMs] == "400");
    BOOST_TEST(sent[Names::Header::tenant] == "t");
    BOOST_TEST(sent[Names::Header::targetInstance] == "i-1");
    BOOST_TEST(sent["X-Kept"] == "kept");
    BOOST_TEST(sent.count(Names::Header::tenant) == 1U);
    BOOST_TEST(sent.count(http::field::authorization) == 0U);
    BOOST_TEST(sent.count("X-Hop") == 0U);
}

// Guards against misread endpoint responses. Only the not-executed header and status 421 mean "not run"; status 503
// alone does not.
BOOST_AUTO_TEST_CASE(parsesEndpointResponseHeaders)
{
    HttpResponseMessage message(http::status::ok, 11);
    message.set(Names::Header::attemptId, "id-1");
    message.set(Names::Header::serverStamp, "s.1");
    message.set(Names::Header::serverLoad, "3,1,8");
    message.set(http::field::keep_alive, "timeout=5");
    message.body() = "body";
    const EndpointResponseMetadata metadata = PlatformEndpointCodec().inspect(message);
    BOOST_TEST(metadata.attemptId.value() == "id-1");
    BOOST_TEST(metadata.load->waiting == 1);
    BOOST_TEST(!metadata.notRun);
    const EndpointResponse response = PlatformEndpointCodec().decode(std::move(message));
    BOOST_TEST(response.signature == "s.1");
    BOOST_TEST(containsField(response.headers, Names::Header::serverStamp));
    BOOST_TEST(!containsField(response.headers, "Keep-Alive"));
    HttpResponseMessage shed(http::status::service_unavailable, 11);
    BOOST_TEST(!PlatformEndpointCodec().inspect(shed).notRun);
    shed.set(Names::Header::notExecuted, "1");
    BOOST_TEST(PlatformEndpointCodec().inspect(shed).notRun);
    const HttpResponseMessage misdirected(http::status::misdirected_request, 11);
    BOOST_TEST(PlatformEndpointCodec().inspect(misdirected).notRun);
}

// Guards against a work factor that is misread or lost. Without a valid one, the counts are used as before; a value
// that is no factor is reported as malformed.
BOOST_AUTO_TEST_CASE(parsesWorkFactors)
{
    const auto parse = [](const std::string &text) {
        HttpResponseMessage message(http::status::ok, 11);
        message.set(Names::Header::serverLoad, text);
        return PlatformEndpointCodec().inspect(message);
    };
    BOOST_TEST(parse("3,1,8,100").load->workFactor.value() == 1);
    BOOST_TEST(parse("3, 1, 8, 37.5").load->workFactor.value() == 0.375);
    BOOST_TEST(parse("3,1,8,250,9").load->workFactor.value() == 2.5);
    const EndpointResponseMetadata withoutFactor = parse("3,1,8");
    BOOST_TEST(!withoutFactor.load->workFactor);
    BOOST_TEST(withoutFactor.statement.malformedFields.empty());
    for (const char *factor : { "", "0", "-100", "nan", "inf", "1e999", "100001", "100 x", "x" }) {
        const EndpointResponseMetadata metadata = parse(std::string("3,1,8,") + factor);
        BOOST_TEST(metadata.load->slots == 8, factor);
        BOOST_TEST(!metadata.load->workFactor, factor);
        BOOST_TEST(metadata.statement.malformedFields.size() == 1U, factor);
    }
    BOOST_TEST(!parse("").load);
    BOOST_TEST(parse("").statement.malformedFields.empty());
}

// Guards against a rate limit that is misread: anything but a decimal number is reported as malformed and names none.
BOOST_AUTO_TEST_CASE(parsesRateLimits)
{
    const auto parse = [](const char *text) {
        HttpResponseMessage message(http::status::ok, 11);
        message.set(Names::Header::serverLimit, text);
        return PlatformEndpointCodec().inspect(message).statement.rateLimit;
    };
    BOOST_TEST(parse("31.9").requestsPerSecond.value() == 31.9);
    BOOST_TEST(parse("0").requestsPerSecond.value() == 0);
    for (const char *text : { "", "-1", "many", "3,5", "4 per second", "nan", "inf", "1e999", "0x10", "2026-12-05" }) {
        const RateLimitStatement statement = parse(text);
        BOOST_TEST(statement.isMalformed, text);
        BOOST_TEST(!statement.requestsPerSecond, text);
    }
    const RateLimitStatement absent
        = PlatformEndpointCodec().inspect(HttpResponseMessage(http::status::ok, 11)).statement.rateLimit;
    BOOST_TEST(!absent.isMalformed);
    BOOST_TEST(!absent.requestsPerSecond);
}

// Guards against a shutdown or a backoff that is misread; dates and negative values are reported as malformed.
BOOST_AUTO_TEST_CASE(parsesLeavingAndRetryAfter)
{
    const auto parse = [](const char *field, const char *text, http::status status) {
        HttpResponseMessage message(status, 11);
        message.set(field, text);
        return PlatformEndpointCodec().inspect(message).statement;
    };
    const auto busy = http::status::service_unavailable;
    BOOST_TEST(parse(Names::Header::serverLeaving, "1", http::status::ok).isLeaving);
    BOOST_TEST((parse(Names::Header::retryAfter, "1.5", busy).retryAfter == Milliseconds(1500)));
    BOOST_TEST((parse(Names::Header::retryAfter, "0", busy).retryAfter == Duration::zero()));
    BOOST_TEST((parse(Names::Header::retryAfter, "1e30", busy).retryAfter == std::chrono::hours(24)));
    BOOST_TEST(!parse(Names::Header::retryAfter, "1.5", http::status::too_many_requests).retryAfter);
    for (const char *text : { "", "-1", "soon", "Sat, 05 Dec 2026 10:00:00 GMT", "nan", "1e999" }) {
        const EndpointStatement statement = parse(Names::Header::retryAfter, text, busy);
        BOOST_TEST(!statement.retryAfter, text);
        BOOST_TEST(statement.malformedFields.size() == 1U, text);
    }
    for (const char *text : { "", "0", "true", "11" }) {
        const EndpointStatement statement = parse(Names::Header::serverLeaving, text, http::status::ok);
        BOOST_TEST(!statement.isLeaving, text);
        BOOST_TEST(statement.malformedFields.size() == 1U, text);
    }
}

// Guards against a status that states "not run" to the caller for a request that may have run, and the reverse.
BOOST_AUTO_TEST_CASE(statusTellsWhetherRequestHasRun)
{
    const auto reply = [](Refusal refusal, Execution execution) {
        return PlatformCallerCodec().encode(ForwardReply::refused(refusal, execution, Milliseconds(250)), nullptr);
    };
    const auto status = [&](Refusal refusal, Execution execution) {
        return reply(refusal, execution).result_int();
    };
    BOOST_TEST(status(Refusal::OutcomeUnknown, Execution::Unknown) == 502U);
    BOOST_TEST(status(Refusal::DeadlineExceeded, Execution::Unknown) == 504U);
    BOOST_TEST(status(Refusal::EndpointShed, Execution::NotRun) == 503U);
    BOOST_TEST(status(Refusal::NotReady, Execution::NotRun) == 503U);
    BOOST_TEST(status(Refusal::RateExceeded, Execution::NotRun) == 429U);
    BOOST_TEST(reply(Refusal::RateExceeded, Execution::NotRun)[Names::Header::retryAfter] == "0.250");
    BOOST_TEST(status(Refusal::KeyUnknown, Execution::NotRun) == 401U);
    BOOST_TEST(status(Refusal::UnknownRoute, Execution::NotRun) == 404U);
}

// Guards against a refusal for any reason that promises "not run" for a request that may have run or has run.
BOOST_AUTO_TEST_CASE(noRefusalPromisesNotRunForARequestThatMayHaveRun)
{
    for (std::size_t number = 1; number < refusalCount; ++number) {
        const auto reason = static_cast<Refusal>(number);
        for (const Execution execution : { Execution::Unknown, Execution::Ran }) {
            const HttpResponseMessage message
                = PlatformCallerCodec().encode(ForwardReply::refused(reason, execution, Milliseconds(250)), nullptr);
            BOOST_TEST(!promisesNotRun(static_cast<int>(message.result_int())), refusalCode(reason));
            BOOST_TEST(message.count(Names::Header::retryAfter) == 0U, refusalCode(reason));
        }
    }
}

// Guards against a response of an endpoint whose status promises callers that the request has not run although the
// endpoint did not state that, and against other responses that are changed on their way.
BOOST_AUTO_TEST_CASE(noResponsePromisesNotRunForARequestThatMayHaveRun)
{
    for (unsigned status = 200; status < 600; ++status) {
        for (const bool isSigned : { false, true }) {
            HttpResponseMessage received(static_cast<http::status>(status), 11);
            received.result(status);
            received.set(http::field::retry_after, "1");
            if (isSigned) {
                received.set(Names::Header::serverStamp, "s.1");
            }
            CallOutcome outcome;
            outcome.result = CallResult::Answered;
            outcome.response = PlatformEndpointCodec().decode(std::move(received));
            const HttpResponseMessage sent = PlatformCallerCodec().encode(
                ForwardReply::fromResponse(outcome.response, outcome.execution()), nullptr);
            const bool isPromise = status == 408 || status == 421 || status == 429 || status == 503;
            BOOST_TEST(sent.result_int() == (isPromise ? 502U : status));
            BOOST_TEST(sent.count(Names::Header::serverStamp) == (isSigned && !isPromise ? 1U : 0U), status);
            BOOST_TEST(sent.count(Names::Header::retryAfter) == (isPromise ? 0U : 1U), status);
        }
    }
}

// Guards against a merged reply without the signatures of its shards and the number of missing shards.
BOOST_AUTO_TEST_CASE(mergedReplyStatesCoverage)
{
    const auto reply = ForwardReply::fromMerged({ { "s.1", "s.2" }, 3, "records" });
    const HttpResponseMessage message = PlatformCallerCodec().encode(reply, nullptr);
    BOOST_TEST(message[Names::Header::partStamps] == "s.1, s.2");
    BOOST_TEST(message[Names::Header::missingParts] == "3");
    BOOST_TEST(message.body() == "records");
}

// Guards against store entries that are lost or truncated on decoding, and against malformed bodies that are accepted.
BOOST_AUTO_TEST_CASE(decodesStoreResponses)
{
    const auto page = decodeRange(R"({"items":[{"Key":"k","Value":"bm9kZS0x","Revision":4,"Created":2,"Lease":0},
        {"Key":"l","Value":"YQ==","Revision":5}],"HasMore":true,"At":9})",
                                  StoreEra(2));
    BOOST_REQUIRE(page);
    BOOST_TEST(page.value().items.at(0).value == "node-1");
    BOOST_TEST(page.value().items.at(1).value == "a");
    BOOST_TEST(page.value().hasMore);
    BOOST_TEST(page.value().position == (FeedPosition { StoreEra(2), 9 }));
    const auto batch = decodeWatch(R"({"events":[{"Key":"k","Revision":10,"Deleted":true}],"At":11})", {});
    BOOST_REQUIRE(batch);
    BOOST_TEST(batch.value().events.at(0).deleted);
    BOOST_TEST((decodeRange("{}", {}).error() == FeedError::MalformedResponse));
    BOOST_TEST((decodeWatch("cut", {}).error() == FeedError::MalformedResponse));
}

// Guards against misread settings, and against an invalid change of the file that replaces valid settings.
BOOST_AUTO_TEST_CASE(parsesSettingsAndRejectsInvalidReload)
{
    const std::string path = "/tmp/lycheewall-platformtest-" + std::to_string(::getpid()) + ".yaml";
    const auto write = [&path](const std::string &text) {
        std::ofstream(path) << text;
    };
    const std::string text = "NodeName: n1\nIp: 10.1.0.17\nZone: z\nListenAddresses: {Front: '10.1.0.17:1', Ready: "
                             "'10.1.0.17:2', directory: '10.1.0.17:3'}\nInternalPortRange: [7740, 7755]\nSeedNodes: "
                             "['10.2.0.28:8360']\nBounds: {RevocationMs: 5000, BudgetSlack: 56, GracePeriodS: "
                             "6}\nplatform: {Address: '10.200.1.7:8361'}\n";
    write(text);
    PlatformSettingsFile file(path);
    const auto settings = file.read();
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings.value().gateway.peerAddress == "10.1.0.17:7740");
    BOOST_TEST(settings.value().gateway.seeds.at(0) == "10.2.0.28:7740");
    BOOST_TEST(settings.value().gateway.retryLimits.slack == 56);
    BOOST_TEST((settings.value().gateway.forwarding.maxFeedAgeForKeys < std::chrono::seconds(5)));
    BOOST_TEST(settings.value().gateway.memoryLimitBytes == GatewaySettings().memoryLimitBytes);
    BOOST_TEST(settings.value().gateway.maxDescriptors == GatewaySettings().maxDescriptors);
    BOOST_TEST(!file.reloadIfChanged());
    write(text + "Limits: {MemoryMb: 112, MaxFds: 2870}\n");
    const auto reloaded = file.reloadIfChanged();
    BOOST_REQUIRE(reloaded.has_value());
    BOOST_TEST(reloaded->gateway.memoryLimitBytes == 112U * 1024 * 1024);
    BOOST_TEST(reloaded->gateway.maxDescriptors == 2870U);
    write("NodeName: n1\n");
    BOOST_TEST(!file.reloadIfChanged());
    std::remove(path.c_str());
    BOOST_TEST(!file.read());
}

BOOST_AUTO_TEST_SUITE_END()

}

#include "tool/callercommands.h"

#include "http/blockingclient.h"
#include "tool/reporting.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace Lycheewall
{

using nlohmann::json;

namespace
{

/// Sends a discovery request to the given addresses in turn and returns the first successful response, which lists the
/// addresses of the instances that callers may use. Otherwise returns the error of the last request.
Result<json> discoverInstances(const std::vector<std::string> &addresses)
{
    std::error_code lastError = std::make_error_code(std::errc::invalid_argument);
    for (const std::string &address : addresses) {
        const auto response = BlockingClient::exchange(address, { "GET", "/v1/addresses", {}, {} });
        if (!response) {
            lastError = response.error();
            continue;
        }
        json parsed = json::parse(response.value().body, nullptr, false);
        if (response.value().status == 200 && parsed.is_object()) {
            return parsed;
        }
        lastError = std::make_error_code(std::errc::resource_unavailable_try_again);
    }
    return lastError;
}

ExitCode printReply(const HttpResponse &reply, bool printJson)
{
    const json parsed = json::parse(reply.body, nullptr, false);
    if (printJson || !parsed.is_object()) {
        std::cout << reply.body << '\n';
    } else if (parsed.contains("error")) {
        const json &error = parsed["error"];
        std::cout << "refused: " << error.value("message", "") << " (" << error.value("run", "") << "), request "
                  << parsed.value("request-id", "") << '\n';
    } else {
        std::cout << "request " << parsed.value("request-id", "") << '\n';
        if (parsed.contains("coverage")) {
            const json &coverage = parsed["coverage"];
            std::cout << "snapshot " << parsed["snapshot"] << ", shards " << coverage["shards-answered"] << " of "
                      << coverage["shards-asked"] << ", documents " << coverage["documents-answered"] << " of "
                      << coverage["documents-asked"] << '\n';
            for (const json &missing : coverage["missing"]) {
                std::cout << "missing " << missing["group"] << ": " << missing["reason"] << '\n';
            }
        }
        std::cout << parsed["result"].dump() << '\n';
    }
    const bool isComplete = parsed.is_object() && !parsed.contains("error")
        && (!parsed.contains("coverage") || parsed["coverage"]["missing"].empty());
    return reply.status == 200 && isComplete ? ExitCode::Success : ExitCode::Refused;
}

json withDeadline(json body, const ToolOptions &options)
{
    if (options.deadlineMs > 0) {
        body["deadline-ms"] = options.deadlineMs;
    }
    return body;
}

/// Returns the parsed text if it is valid JSON, or else the text as a JSON string.
json parseJsonOrString(const std::string &text)
{
    json parsed = json::parse(text, nullptr, false);
    return parsed.is_discarded() ? json(text) : parsed;
}

}

ExitCode CallerCommand::run(const ToolOptions &options, const std::vector<std::string> &arguments)
{
    if (arguments.size() != 2) {
        return printUsage(*this);
    }
    const auto discovered = discoverInstances(options.addresses);
    if (!discovered) {
        std::cerr << "lycheewallctl: no response from any address; last error: " << discovered.error().message()
                  << '\n';
        return ExitCode::Unreachable;
    }
    HttpRequest request { "POST", this->path(arguments[0]), {}, this->body(options, arguments[1]) };
    if (!options.apiKey.empty()) {
        request.authorization = "Bearer " + options.apiKey;
    }
    for (const json &instance : discovered.value()["addresses"]) {
        const std::string address = instance.value("address", "");
        const auto reply = BlockingClient::exchange(address, request);
        if (reply) {
            return printReply(reply.value(), options.printJson);
        }
        std::cerr << "lycheewallctl: " << address << ": " << reply.error().message() << '\n';
        if (!options.idempotent) {
            // The request may have run there. It is not idempotent, so it must not be sent to another instance.
            return ExitCode::Unreachable;
        }
    }
    return ExitCode::Unreachable;
}

std::string QueryCommand::name() const
{
    return "query";
}

std::string QueryCommand::arguments() const
{
    return "POOL QUERY";
}

std::string QueryCommand::summary() const
{
    return "send a query to all shards of a pool";
}

std::string QueryCommand::path(const std::string &pool) const
{
    return "/v1/pools/" + pool + "/query";
}

std::string QueryCommand::body(const ToolOptions &options, const std::string &text) const
{
    return withDeadline({ { "query", parseJsonOrString(text) } }, options).dump();
}

std::string RequestCommand::name() const
{
    return "request";
}

std::string RequestCommand::arguments() const
{
    return "POOL BODY";
}

std::string RequestCommand::summary() const
{
    return "send a request to one server of a pool";
}

std::string RequestCommand::path(const std::string &pool) const
{
    return "/v1/pools/" + pool + "/request";
}

std::string RequestCommand::body(const ToolOptions &options, const std::string &text) const
{
    json body { { "body", parseJsonOrString(text) }, { "idempotent", options.idempotent } };
    if (!options.routingKey.empty()) {
        body["key"] = options.routingKey;
    }
    return withDeadline(body, options).dump();
}

std::string AddressesCommand::name() const
{
    return "addresses";
}

std::string AddressesCommand::arguments() const
{
    return "";
}

std::string AddressesCommand::summary() const
{
    return "show which instances callers may use, and for how long the list is valid";
}

ExitCode AddressesCommand::run(const ToolOptions &options, const std::vector<std::string> &)
{
    const auto discovered = discoverInstances(options.addresses);
    if (!discovered) {
        std::cerr << "lycheewallctl: no response from any address; last error: " << discovered.error().message()
                  << '\n';
        return ExitCode::Unreachable;
    }
    if (options.printJson) {
        std::cout << discovered.value().dump() << '\n';
        return ExitCode::Success;
    }
    std::cout << "keep for " << discovered.value()["keep-ms"] << " ms\n";
    for (const json &instance : discovered.value()["addresses"]) {
        std::cout << instance.value("instance", "") << '\t' << instance.value("zone", "") << '\t'
                  << instance.value("address", "") << '\n';
    }
    return ExitCode::Success;
}

}

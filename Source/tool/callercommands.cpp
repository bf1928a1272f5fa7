#include "tool/callercommands.h"

#include "http/blockingclient.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace Lycheewall
{

using nlohmann::json;

namespace
{

/// The addresses that the fleet names, from the first given address that answers.
Result<json> askAddresses(const std::vector<std::string> &known)
{
    std::error_code last = std::make_error_code(std::errc::invalid_argument);
    for (const std::string &address : known) {
        const auto answer = BlockingClient::exchange(address, { "GET", "/v1/addresses", {}, {} });
        if (!answer) {
            last = answer.error();
            continue;
        }
        json parsed = json::parse(answer.value().body, nullptr, false);
        if (answer.value().status == 200 && parsed.is_object()) {
            return parsed;
        }
        last = std::make_error_code(std::errc::resource_unavailable_try_again);
    }
    return last;
}

ExitCode printAnswer(const HttpResponse &answer, bool asJson)
{
    const json parsed = json::parse(answer.body, nullptr, false);
    if (asJson || !parsed.is_object()) {
        std::cout << answer.body << '\n';
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
    const bool whole = parsed.is_object() && !parsed.contains("error")
        && (!parsed.contains("coverage") || parsed["coverage"]["missing"].empty());
    return answer.status == 200 && whole ? ExitCode::Success : ExitCode::Refused;
}

json withDeadline(json body, const ToolOptions &options)
{
    if (options.deadlineMs > 0) {
        body["deadline-ms"] = options.deadlineMs;
    }
    return body;
}

/// The text as JSON when it is JSON, else as a string.
json asValue(const std::string &text)
{
    json parsed = json::parse(text, nullptr, false);
    return parsed.is_discarded() ? json(text) : parsed;
}

}

ExitCode CallerCommand::run(const ToolOptions &options, const std::vector<std::string> &arguments)
{
    if (arguments.size() != 2) {
        std::cerr << "lycheewallctl: usage: " << this->name() << ' ' << this->arguments() << '\n';
        return ExitCode::BadUsage;
    }
    const auto known = askAddresses(options.addresses);
    if (!known) {
        std::cerr << "lycheewallctl: no address answers: " << known.error().message() << '\n';
        return ExitCode::Unreachable;
    }
    HttpRequest request { "POST", this->path(arguments[0]), {}, this->body(options, arguments[1]) };
    if (!options.key.empty()) {
        request.authorization = "Bearer " + options.key;
    }
    for (const json &instance : known.value()["addresses"]) {
        const std::string address = instance.value("address", "");
        const auto answer = BlockingClient::exchange(address, request);
        if (answer) {
            return printAnswer(answer.value(), options.json);
        }
        std::cerr << "lycheewallctl: " << address << ": " << answer.error().message() << '\n';
        if (!options.idempotent) {
            // The request may have run there, so it must not go to another instance.
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
    return withDeadline({ { "query", asValue(text) } }, options).dump();
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
    json body { { "body", asValue(text) }, { "idempotent", options.idempotent } };
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
    return "show which instances callers may use, and for how long to keep the answer";
}

ExitCode AddressesCommand::run(const ToolOptions &options, const std::vector<std::string> &)
{
    const auto known = askAddresses(options.addresses);
    if (!known) {
        std::cerr << "lycheewallctl: no address answers: " << known.error().message() << '\n';
        return ExitCode::Unreachable;
    }
    if (options.json) {
        std::cout << known.value().dump() << '\n';
        return ExitCode::Success;
    }
    std::cout << "keep for " << known.value()["keep-ms"] << " ms\n";
    for (const json &instance : known.value()["addresses"]) {
        std::cout << instance.value("instance", "") << '\t' << instance.value("zone", "") << '\t'
                  << instance.value("address", "") << '\n';
    }
    return ExitCode::Success;
}

}

#include "tool/operatorcommands.h"

#include "catalogue/instancelist.h"
#include "http/blockingclient.h"
#include "tool/reporting.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Lycheewall
{

using nlohmann::json;

namespace
{

ExitCode printProblems(const std::vector<CatalogueProblem> &problems)
{
    for (const CatalogueProblem &problem : problems) {
        std::cerr << problem.message() << '\n';
    }
    return ExitCode::Refused;
}

void printGroup(const json &group)
{
    std::cout << "  " << group["pool"].get<std::string>() << '/' << group["group"].get<std::string>() << "  queue "
              << group["queue-length"] << '\n';
    for (const json &endpoint : group["endpoints"]) {
        std::cout << "    " << endpoint["endpoint"].get<std::string>() << "  running " << endpoint["running"] << " of "
                  << endpoint["limit"] << ", connections " << endpoint["connections"]
                  << (endpoint["cold"] ? ", cold" : "") << (endpoint["in-service"] ? "" : ", out of service") << '\n';
    }
}

void printState(const json &state)
{
    std::cout << state["instance"].get<std::string>() << "  " << state["zone"].get<std::string>() << "  "
              << state["state"].get<std::string>() << (state["cut-off"] ? "  CUT OFF" : "") << "  catalogue "
              << state["catalogue-version"] << "  instances " << state["instances-version"] << "  requests "
              << state["running-requests"] << "  leases " << state["held"].size() << '\n';
    for (const auto &[peer, health] : state["peers"].items()) {
        std::cout << "  peer " << peer << ' ' << health.get<std::string>() << '\n';
    }
    for (const json &zone : state["drained-zones"]) {
        std::cout << "  drained zone " << zone.get<std::string>() << '\n';
    }
    for (const json &problem : state["refused-configuration"]) {
        std::cout << "  refused: " << problem.get<std::string>() << '\n';
    }
    for (const json &group : state["groups"]) {
        printGroup(group);
    }
}

}

std::string ValidateCommand::name() const
{
    return "validate";
}

std::string ValidateCommand::arguments() const
{
    return "catalogue|instances FILE";
}

std::string ValidateCommand::summary() const
{
    return "check a file before it is published";
}

ExitCode ValidateCommand::run(const ToolOptions &, const std::vector<std::string> &arguments)
{
    const bool validArguments = arguments.size() == 2 && (arguments[0] == "catalogue" || arguments[0] == "instances");
    if (!validArguments) {
        return printUsage(*this);
    }
    const std::string &file = arguments[1];
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << "lycheewallctl: " << file << ": cannot be read\n";
        return ExitCode::BadUsage;
    }
    std::stringstream text;
    text << stream.rdbuf();
    if (arguments[0] == "catalogue") {
        const auto parsed = Catalogue::parse(text.str(), file);
        if (!parsed) {
            return printProblems(parsed.error());
        }
    } else {
        const auto parsed = InstanceList::parse(text.str(), file);
        if (!parsed) {
            return printProblems(parsed.error());
        }
    }
    std::cout << file << ": no problems\n";
    return ExitCode::Success;
}

std::string StateCommand::name() const
{
    return "state";
}

std::string StateCommand::arguments() const
{
    return "";
}

std::string StateCommand::summary() const
{
    return "show the state of each daemon: versions, peers, leases, endpoints, queues";
}

ExitCode StateCommand::run(const ToolOptions &options, const std::vector<std::string> &)
{
    ExitCode exitCode = ExitCode::Success;
    json all = json::array();
    for (const std::string &address : options.addresses) {
        const auto response = BlockingClient::exchange(address, { "GET", "/state", {}, {} });
        if (!response) {
            exitCode = reportUnreachable(address, response.error());
            continue;
        }
        all.push_back(json::parse(response.value().body, nullptr, false));
    }
    if (options.printJson) {
        std::cout << all.dump() << '\n';
        return exitCode;
    }
    for (const json &state : all) {
        printState(state);
    }
    return exitCode;
}

std::string CountersCommand::name() const
{
    return "counters";
}

std::string CountersCommand::arguments() const
{
    return "";
}

std::string CountersCommand::summary() const
{
    return "show the counters of each daemon";
}

ExitCode CountersCommand::run(const ToolOptions &options, const std::vector<std::string> &)
{
    ExitCode exitCode = ExitCode::Success;
    for (const std::string &address : options.addresses) {
        const auto response = BlockingClient::exchange(address, { "GET", "/counters", {}, {} });
        if (!response) {
            exitCode = reportUnreachable(address, response.error());
            continue;
        }
        std::cout << "# " << address << '\n' << response.value().body;
    }
    return exitCode;
}

std::string ExplainCommand::name() const
{
    return "explain";
}

std::string ExplainCommand::arguments() const
{
    return "REQUEST-ID";
}

std::string ExplainCommand::summary() const
{
    return "show what was done for one request";
}

ExitCode ExplainCommand::run(const ToolOptions &options, const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1) {
        return printUsage(*this);
    }
    for (const std::string &address : options.addresses) {
        const auto response = BlockingClient::exchange(address, { "GET", "/requests/" + arguments[0], {}, {} });
        if (!response || response.value().status != 200) {
            continue;
        }
        const json trace = json::parse(response.value().body, nullptr, false);
        std::cout << (options.printJson ? response.value().body : trace.dump(2)) << '\n';
        return ExitCode::Success;
    }
    std::cerr << "lycheewallctl: no daemon knows request " << arguments[0] << '\n';
    return ExitCode::Refused;
}

std::string LogLevelCommand::name() const
{
    return "log-level";
}

std::string LogLevelCommand::arguments() const
{
    return "debug|info|warn|error";
}

std::string LogLevelCommand::summary() const
{
    return "change the log level of each daemon";
}

ExitCode LogLevelCommand::run(const ToolOptions &options, const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1) {
        return printUsage(*this);
    }
    ExitCode exitCode = ExitCode::Success;
    for (const std::string &address : options.addresses) {
        const auto response = BlockingClient::exchange(address, { "POST", "/log-level", {}, arguments[0] });
        if (!response) {
            exitCode = reportUnreachable(address, response.error());
        } else if (response.value().status != 200) {
            std::cerr << "lycheewallctl: " << address << ": no such log level: " << arguments[0] << '\n';
            exitCode = ExitCode::BadUsage;
        }
    }
    return exitCode;
}

}

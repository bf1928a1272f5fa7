#include "tool/callercommands.h"
#include "tool/explainroutecommand.h"
#include "tool/operatorcommands.h"

#include <gflags/gflags.h>
#include <iostream>
#include <memory>
#include <sstream>

DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_string(
    addresses,
    "",
    "comma-separated ip:port list of daemons: operator addresses, or caller addresses for the commands of callers");
DEFINE_string(key, "", "API key of the organisation; if empty, that in the environment variable LYCHEEWALL_KEY");
DEFINE_int32(deadline_ms, 0, "deadline of the request in milliseconds; 0 for the default of the daemon");
DEFINE_bool(idempotent, true, "whether the request may be sent more than once");
DEFINE_string(host, "", "host of the request that is explained");
DEFINE_string(path, "", "path and query of the request that is explained");
DEFINE_string(method, "GET", "method of the request that is explained");
DEFINE_string(organisation, "", "organisation of the request that is explained; empty for a request without API key");
DEFINE_string(routing_key, "", "requests with the same routing key go to the same group");

namespace
{

using namespace Lycheewall;

std::vector<std::unique_ptr<Command>> allCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<AddressesCommand>());
    commands.push_back(std::make_unique<CountersCommand>());
    commands.push_back(std::make_unique<ExplainCommand>());
    commands.push_back(std::make_unique<ExplainRouteCommand>());
    commands.push_back(std::make_unique<LogLevelCommand>());
    commands.push_back(std::make_unique<QueryCommand>());
    commands.push_back(std::make_unique<RequestCommand>());
    commands.push_back(std::make_unique<StateCommand>());
    commands.push_back(std::make_unique<ValidateCommand>());
    return commands;
}

ToolOptions optionsFromFlags()
{
    ToolOptions options;
    options.printJson = FLAGS_json;
    std::stringstream list(FLAGS_addresses);
    for (std::string address; std::getline(list, address, ',');) {
        options.addresses.push_back(address);
    }
    const char *environmentKey = std::getenv("LYCHEEWALL_KEY");
    options.apiKey = FLAGS_key.empty() && environmentKey != nullptr ? environmentKey : FLAGS_key;
    options.deadlineMs = FLAGS_deadline_ms;
    options.idempotent = FLAGS_idempotent;
    options.routingKey = FLAGS_routing_key;
    options.host = FLAGS_host;
    options.path = FLAGS_path;
    options.method = FLAGS_method;
    options.organisation = FLAGS_organisation;
    return options;
}

std::string usageText(const std::vector<std::unique_ptr<Command>> &commands)
{
    std::string text = "lycheewallctl [flags] COMMAND [arguments]\n\nCommands:\n";
    for (const auto &command : commands) {
        text += "  " + command->name() + ' ' + command->arguments() + "\n      " + command->summary() + '\n';
    }
    return text;
}

}

int main(int argc, char **argv)
{
    const auto commands = allCommands();
    gflags::SetUsageMessage(usageText(commands));
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> commandLine(argv + 1, argv + argc);
    for (const auto &command : commands) {
        if (!commandLine.empty() && command->name() == commandLine.front()) {
            return static_cast<int>(command->run(optionsFromFlags(), { commandLine.begin() + 1, commandLine.end() }));
        }
    }
    std::cerr << usageText(commands);
    return static_cast<int>(ExitCode::BadUsage);
}

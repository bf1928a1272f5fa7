#include "tool/explainroutecommand.h"

#include "forwarding/routequerycodec.h"
#include "http/blockingclient.h"
#include "tool/reporting.h"

#include <iostream>

namespace Lycheewall
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;

ExplanationRequest requestFromOptions(const ToolOptions &options)
{
    ExplanationRequest request;
    request.query.host = options.host;
    request.query.target = options.path;
    request.query.method = options.method;
    if (!options.organisation.empty()) {
        request.query.organisation = OrganisationId(options.organisation);
    }
    if (options.deadlineMs > 0) {
        request.query.deadline = Milliseconds(options.deadlineMs);
    }
    request.format = options.printJson ? ExplanationFormat::Json : ExplanationFormat::Text;
    return request;
}

}

std::string ExplainRouteCommand::name() const
{
    return "explain-route";
}

std::string ExplainRouteCommand::arguments() const
{
    return "--addresses=ADDRESS --host=HOST --path=PATH";
}

std::string ExplainRouteCommand::summary() const
{
    return "show where an instance would send a request now, and why, without sending it";
}

ExitCode ExplainRouteCommand::run(const ToolOptions &options, const std::vector<std::string> &arguments)
{
    if (!arguments.empty() || options.addresses.size() != 1 || options.host.empty() || options.path.empty()) {
        return printUsage(*this);
    }
    const std::string &address = options.addresses.front();
    const ExplanationRequest request = requestFromOptions(options);
    const auto response = BlockingClient::exchange(address, { "GET", encodeExplanationTarget(request), {}, {} });
    if (!response) {
        return reportUnreachable(address, response.error());
    }
    const HttpResponse &answer = response.value();
    if (answer.status == statusBadRequest) {
        std::cerr << "lycheewallctl: " << address << ": " << answer.body;
        return ExitCode::BadUsage;
    }
    if (answer.contentType != contentTypeOf(request.format)) {
        std::cerr << "lycheewallctl: " << address << ": the response is no explanation; is this a metrics address?\n";
        return ExitCode::Refused;
    }
    std::cout << answer.body;
    return answer.status == statusOk ? ExitCode::Success : ExitCode::Refused;
}

}

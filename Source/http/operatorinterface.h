#pragma once

#include "coordinator/requesttraces.h"
#include "core/counters.h"
#include "http/httpmessages.h"

#include <functional>
#include <string>

namespace Lycheewall
{

/// Everything referred to outlives the interface. The functions may be called from any thread.
struct OperatorInterfaceContext
{
    const Counters &counters;
    const RequestTraces &traces;
    /// State of the daemon as a JSON object.
    std::function<std::string()> state;
    /// False for a level that does not exist.
    std::function<bool(const std::string &level)> setLogLevel;
};

/**
 * Routes for operators; see Help/operator-interface.md. It has an address of its own, which callers cannot reach.
 * Thread safety: any thread.
 */
class OperatorInterface : public HttpHandler
{
public:
    explicit OperatorInterface(OperatorInterfaceContext interfaceContext);

    HttpResponse handle(const HttpRequest &request) override;
    HttpResponse refuse(Refusal refusal) override;

private:
    HttpResponse explain(const std::string &id);

    const OperatorInterfaceContext context;
};

}

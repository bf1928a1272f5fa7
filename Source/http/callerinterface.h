#pragma once

#include "coordinator/coordinator.h"
#include "core/random.h"
#include "http/callerjson.h"
#include "membership/peertable.h"

namespace Lycheewall
{

/// Everything referred to outlives the interface.
struct CallerInterfaceContext
{
    InstanceId self;
    ZoneId zone;
    Coordinator &coordinator;
    const PeerTable &peers;
    Random &random;
    Counters &counters;
    DeadlineRange deadlines;
    /// How long callers may keep an answer about addresses.
    Milliseconds keep { 10'000 };
};

/**
 * Routes of the caller's interface; see Help/caller-interface.md.
 * Thread safety: any thread. handle() blocks the calling fiber until the request has ended.
 */
class CallerInterface : public HttpHandler
{
public:
    explicit CallerInterface(const CallerInterfaceContext &interfaceContext);

    HttpResponse handle(const HttpRequest &request) override;
    HttpResponse refuse(Refusal refusal) override;

private:
    HttpResponse handlePool(const HttpRequest &request, const std::string &pool, const std::string &action);
    HttpResponse run(CallerRequest request);
    HttpResponse addresses() const;
    HttpResponse readiness() const;
    RequestId newRequestId();

    const CallerInterfaceContext context;
};

}

#include "forwarding/exchange.h"

#include "forwarding/fanoutexchange.h"
#include "forwarding/singleexchange.h"

namespace Lycheewall
{

std::shared_ptr<Exchange>
startExchange(ForwardingContext &context, const AdmittedRequest &request, Exchange::ReplyCallback done)
{
    if (request.route->shards.empty()) {
        return SingleExchange::start(context, request, std::move(done));
    }
    return FanoutExchange::start(context, request, std::move(done));
}

}

#include "http/endpointclient.h"

#include "http/endpointclientcore.h"

namespace Lycheewall
{

EndpointClient::EndpointClient(std::vector<Worker *> workers,
                               const Clock &clock,
                               Counters &counters,
                               EndpointClientSettings settings)
    : core(std::make_shared<Core>(std::move(workers), clock, counters, settings))
{
    this->core->startSweep();
}

EndpointClient::~EndpointClient()
{
    this->core->shutDown();
}

void EndpointClient::setAddress(const EndpointId &endpoint, const std::string &host, std::uint16_t port)
{
    this->core->setAddress(endpoint, host, port);
}

void EndpointClient::start(const EndpointId &endpoint,
                           const EndpointRequest &request,
                           int connectionBudget,
                           Callback callback)
{
    this->core->start(endpoint, request, connectionBudget, std::move(callback));
}

void EndpointClient::cancel(const EndpointId &endpoint, AttemptId attempt)
{
    this->core->cancel(endpoint, attempt);
}

void EndpointClient::closeIdle(const EndpointId &endpoint)
{
    this->core->closeIdle(endpoint);
}

int EndpointClient::openConnections(const EndpointId &endpoint) const
{
    return this->core->openConnections(endpoint);
}

}

#include "observations.h"

namespace Soak
{

double elapsedSeconds()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void Observations::record(const Arrival &arrival)
{
    this->append(this->arrivals, arrival);
}

void Observations::record(const Statement &statement)
{
    this->append(this->statements, statement);
}

void Observations::record(const CallerAttempt &attempt)
{
    this->append(this->attempts, attempt);
}

void Observations::record(const InstanceFault &fault)
{
    this->append(this->faults, fault);
}

void Observations::record(const KeyWithdrawal &withdrawal)
{
    this->append(this->withdrawals, withdrawal);
}

void Observations::record(const StoreOutage &outage)
{
    this->append(this->outages, outage);
}

void Observations::record(const EndpointRemoval &removal)
{
    this->append(this->removals, removal);
}

int instanceOf(const std::string &attemptId)
{
    return std::stoi(attemptId);
}

}

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
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->arrivals.push_back(arrival);
}

void Observations::record(const Statement &statement)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->statements.push_back(statement);
}

void Observations::record(const CallerAttempt &attempt)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->attempts.push_back(attempt);
}

void Observations::record(const InstanceFault &fault)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->faults.push_back(fault);
}

int instanceOf(const std::string &attemptId)
{
    return std::stoi(attemptId);
}

}

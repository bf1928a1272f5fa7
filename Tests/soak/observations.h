#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Soak
{

/// Seconds since the start of the run.
double elapsedSeconds();

/// A request that reached an endpoint. The attempt id begins with the number of the instance to which it was sent.
struct Arrival
{
    double at = 0;
    std::string attemptId;
    std::string endpoint;
    std::string service;
    bool ran = false;
    /// The organisation that the instance has named, and whether the caller's key was passed on.
    std::string organisation;
    bool hasKey = false;
};

/// What an endpoint said in a response, and to which instance.
struct Statement
{
    enum class Kind { RateLimit, Backoff, Leaving };
    double at = 0;
    int instance = 0;
    std::string endpoint;
    /// Attempt of the caller to which the endpoint responded.
    std::string attemptId;
    Kind kind = Kind::RateLimit;
    /// Requests per second, or seconds without requests.
    double value = 0;
};

/// One attempt of a caller and its reply; status 0 if there was none.
struct CallerAttempt
{
    double sentAt = 0;
    double endedAt = 0;
    std::string attemptId;
    int instance = 0;
    bool isIdempotent = true;
    std::string organisation;
    int status = 0;
    std::string partStamps;
    int missingParts = 0;
    std::string body;
};

/// A time in which an instance was stopped, paused or starting.
struct InstanceFault
{
    int instance = 0;
    double from = 0;
    double until = 0;
};

/// The operator has withdrawn the key of an organisation for good.
struct KeyWithdrawal
{
    std::string organisation;
    double at = 0;
};

/// A time in which the store answered no call.
struct StoreOutage
{
    double from = 0;
    double until = 0;
};

/// A time in which an endpoint was not in the store; at its end, the endpoint has started again.
struct EndpointRemoval
{
    std::string endpoint;
    double from = 0;
    double until = 0;
};

/// All that callers, endpoints and the operator have seen. Thread safety: the record functions may be called from any
/// thread; read the lists after all threads have ended.
class Observations
{
public:
    void record(const Arrival &arrival);
    void record(const Statement &statement);
    void record(const CallerAttempt &attempt);
    void record(const InstanceFault &fault);
    void record(const KeyWithdrawal &withdrawal);
    void record(const StoreOutage &outage);
    void record(const EndpointRemoval &removal);

    std::vector<Arrival> arrivals;
    std::vector<Statement> statements;
    std::vector<CallerAttempt> attempts;
    std::vector<InstanceFault> faults;
    std::vector<KeyWithdrawal> withdrawals;
    std::vector<StoreOutage> outages;
    std::vector<EndpointRemoval> removals;

private:
    template<typename Item> void append(std::vector<Item> &list, const Item &item)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        list.push_back(item);
    }

    std::mutex mutex;
};

/// The instance that a caller sent the attempt to.
int instanceOf(const std::string &attemptId);

}

#include "forwarding/fleetretrybudget.h"

#include <algorithm>

namespace Lycheewall
{

namespace
{

/// Shares of the limits that are used; the rest covers views of the fleet that differ for a moment.
constexpr double ratioShare = 0.85;
constexpr double capacityShare = 0.55;
constexpr double refillShare = 0.25;

}

FleetRetryBudget::FleetRetryBudget(const FleetRetryLimits &repeatLimits, const Clock &budgetClock)
    : limits(repeatLimits)
    , clock(budgetClock)
{
}

void FleetRetryBudget::setLimits(const FleetRetryLimits &newLimits)
{
    this->limits = newLimits;
}

void FleetRetryBudget::setFleetShare(double fleetShare)
{
    this->share = fleetShare;
}

double FleetRetryBudget::capacity() const
{
    return std::max(1.0, capacityShare * this->limits.slack * this->share);
}

FleetRetryBudget::Account &FleetRetryBudget::account(const ServiceId &service)
{
    const TimePoint now = this->clock.now();
    const auto [entry, added] = this->accounts.try_emplace(service);
    Account &account = entry->second;
    if (added) {
        account.at = now;
    }
    const double passed = fractionalSeconds(now - account.at);
    const double window = fractionalSeconds(this->limits.window);
    account.tokens += passed / window * refillShare * this->limits.slack * this->share;
    account.tokens = std::min(account.tokens, this->capacity());
    account.at = now;
    return account;
}

void FleetRetryBudget::recordFirstAttempt(const ServiceId &service)
{
    Account &account = this->account(service);
    account.tokens = std::min(account.tokens + ratioShare * this->limits.ratio, this->capacity());
}

bool FleetRetryBudget::tryAcquire(const ServiceId &service)
{
    Account &account = this->account(service);
    if (account.tokens < 1) {
        return false;
    }
    account.tokens -= 1;
    return true;
}

void FleetRetryBudget::refund(const ServiceId &service)
{
    Account &account = this->account(service);
    account.tokens = std::min(account.tokens + 1, this->capacity());
}

}

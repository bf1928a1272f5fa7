#pragma once

#include "forwarding/endpointchooser.h"
#include "forwarding/fairshares.h"

#include <map>
#include <optional>

namespace Lycheewall
{

struct AdmittedRequest;

/// The services of a request whose endpoints have all asked for fewer requests, by their index in Route::shards; 0 for
/// a request to a single service.
using ThrottledServices = std::map<std::size_t, ServiceThrottling>;

/// Which throttled services a request is sent to.
struct ThrottledDecision
{
    /// The services that do not take the request now, by the time until they do.
    std::multimap<Duration, std::size_t> exhausted;
    /// Set if the request is not sent because too many services do not take it: the time until it can be sent.
    std::optional<Duration> waitTime;
};

/**
 * Decides which requests get the last tokens of a service whose endpoints have all asked for fewer requests: those of
 * the most urgent priority, and among requests of the same priority those of organisations that use no more than their
 * fair share. All others leave a part of the tokens to these.
 * Thread safety: none; used on the thread of the request loop.
 */
class ThrottledAdmission
{
public:
    /// Decides on a request to throttled services, @p omittable of which may be left out, and records it as sent if it
    /// may be. Precondition: @p services is not empty.
    ThrottledDecision
    decide(const AdmittedRequest &request, const ThrottledServices &services, std::size_t omittable, TimePoint now);

    /// Returns what decide() would decide now, and records nothing. Precondition: @p services is not empty.
    ThrottledDecision
    peek(const AdmittedRequest &request, const ThrottledServices &services, std::size_t omittable, TimePoint now) const;

    /// Records that a request of @p priority (0 is the highest) is for a throttled service, and returns the fraction of
    /// the tokens that it has to leave to others. @p organisation is nullptr on public routes.
    double reserveForOthers(int priority, const OrganisationSpec *organisation, TimePoint now);

    /// Records that the request has been sent to a throttled service.
    void recordSent(int priority, const OrganisationSpec *organisation, TimePoint now);

private:
    /// The requests of one priority.
    struct PriorityClass
    {
        TimePoint lastRequestAt;
        FairShares shares;
    };

    /// The fraction of the tokens that a request has to leave to others. Records the request in @p priorityClass only.
    double
    reserveIn(PriorityClass &priorityClass, int priority, const OrganisationSpec *organisation, TimePoint now) const;
    bool isMoreUrgentWaiting(int priority, TimePoint now) const;

    std::map<int, PriorityClass> classes;
};

}

#include "checker.h"

#include "endpointstandin.h"

#include <algorithm>
#include <optional>
#include <set>
#include <sstream>

namespace Soak
{

namespace
{

constexpr int maxAttempts = 2;
constexpr double minShardRatio = 0.75;
/// The statuses with which a reply promises its caller that the request has not run.
const std::set<int> promises { 408, 421, 429, 503 };
constexpr std::size_t maxRecords = 6;
constexpr std::size_t recordBytes = 16;
/// Time after a response with a statement from which the instance must act on it.
constexpr double reactionSeconds = 0.5;
constexpr double contactSeconds = 4;
constexpr double limitWindowSeconds = 4;
constexpr double limitFactor = 1.5;
constexpr int limitExtra = 5;
constexpr double drainSeconds = 3;
constexpr int allowedDuringBackoff = 2;
constexpr double quotaWindowSeconds = 5;
constexpr double quotaOverage = 0.25;
constexpr double quotaTolerance = 20;
constexpr int allowedLostReplies = 3;
/// A reply must arrive this long after the caller's deadline at the latest.
constexpr double replyBoundSeconds = 1.3;

class Checker
{
public:
    Checker(const Observations &seen, const CheckedConfiguration &checked)
        : observations(seen)
        , configuration(checked)
    {
        for (const Arrival &arrival : seen.arrivals) {
            this->arrivalsByAttempt[arrival.attemptId].push_back(&arrival);
            this->arrivalsByEndpoint[arrival.endpoint].push_back(&arrival);
        }
        for (const CallerAttempt &attempt : seen.attempts) {
            this->attemptsById[attempt.attemptId] = &attempt;
        }
    }

    std::vector<std::string> run()
    {
        for (const CallerAttempt &attempt : this->observations.attempts) {
            this->checkRuns(attempt);
            this->checkReply(attempt);
        }
        this->checkStatements();
        this->checkOrganisationRate();
        this->checkWithdrawnKeys();
        this->checkRemovedEndpoints();
        if (this->lostReplies > allowedLostReplies) {
            this->report("LOST", std::to_string(this->lostReplies) + " requests without a reply");
        }
        return this->violations;
    }

private:
    template<typename... Parts> void report(const char *rule, const Parts &...parts)
    {
        std::ostringstream line;
        line << rule << ": ";
        (line << ... << parts);
        this->violations.push_back(line.str());
    }

    bool wasDisturbed(int instance, double from, double until) const
    {
        return std::any_of(
            this->observations.faults.begin(), this->observations.faults.end(), [=](const InstanceFault &fault) {
                return fault.instance == instance && fault.from < until && fault.until > from;
            });
    }

    std::vector<const Arrival *> arrivalsOf(const std::string &attemptId) const
    {
        const auto entry = this->arrivalsByAttempt.find(attemptId);
        return entry == this->arrivalsByAttempt.end() ? std::vector<const Arrival *>() : entry->second;
    }

    void checkRuns(const CallerAttempt &attempt)
    {
        std::map<std::string, int> runsByService;
        for (const Arrival *arrival : this->arrivalsOf(attempt.attemptId)) {
            runsByService[arrival->service] += arrival->ran ? 1 : 0;
            if (arrival->organisation != attempt.organisation || arrival->hasKey) {
                this->report(
                    "UNASKED", attempt.attemptId, " of ", attempt.organisation, " ran for ", arrival->organisation);
            }
        }
        for (const auto &[service, runs] : runsByService) {
            if (runs > maxAttempts) {
                this->report("BUDGET", attempt.attemptId, " ran on ", runs, " endpoints of ", service);
            }
            if (!attempt.isIdempotent && runs > 1) {
                this->report("TWICE", attempt.attemptId, " ran ", runs, " times");
            }
            if (promises.count(attempt.status) > 0 && runs > 0) {
                this->report("REFUSED", attempt.attemptId, " got ", attempt.status, " and has run");
            }
        }
    }

    void checkReply(const CallerAttempt &attempt)
    {
        if (attempt.status == 0) {
            const bool isExcused = this->wasDisturbed(attempt.instance, attempt.sentAt - 1, attempt.endedAt + 1);
            this->lostReplies += isExcused ? 0 : 1;
        } else if (attempt.endedAt - attempt.sentAt > replyBoundSeconds
                   && !this->wasDisturbed(attempt.instance, attempt.sentAt - 1, attempt.endedAt)) {
            this->report("LATE", attempt.attemptId, " took ", attempt.endedAt - attempt.sentAt, " s");
        }
        if (attempt.status == 200) {
            attempt.isIdempotent ? this->checkMerged(attempt) : this->checkSingle(attempt);
        }
    }

    void checkSingle(const CallerAttempt &attempt)
    {
        const bool isOwn = attempt.partStamps.rfind(attempt.attemptId + ".", 0) == 0;
        if (!isOwn || attempt.body != EndpointStandin::bodyOf(attempt.partStamps)) {
            this->report("MIXED", attempt.attemptId, " got the response ", attempt.partStamps);
        }
    }

    /// The endpoints' stamps in the response to @p attempt.
    static std::vector<std::string> stampsOf(const CallerAttempt &attempt)
    {
        std::vector<std::string> stamps;
        std::istringstream list(attempt.partStamps);
        std::string stamp;
        while (std::getline(list >> std::ws, stamp, ',')) {
            stamps.push_back(stamp);
        }
        return stamps;
    }

    void checkMerged(const CallerAttempt &attempt)
    {
        std::set<std::string> services;
        std::vector<std::string> records;
        int parts = 0;
        for (const std::string &stamp : stampsOf(attempt)) {
            ++parts;
            bool isOwn = false;
            for (const Arrival *arrival : this->arrivalsOf(attempt.attemptId)) {
                if (arrival->ran && stamp == EndpointStandin::stampOf(attempt.attemptId, arrival->endpoint)) {
                    isOwn = true;
                    services.insert(arrival->service);
                }
            }
            if (!isOwn) {
                this->report("MIXED", attempt.attemptId, " names the part ", stamp);
            }
            const std::string body = EndpointStandin::bodyOf(stamp);
            for (std::size_t start = 0; start < body.size(); start += recordBytes) {
                records.push_back(body.substr(start, recordBytes));
            }
        }
        std::sort(records.rbegin(), records.rend());
        std::string expected;
        for (std::size_t record = 0; record < std::min(maxRecords, records.size()); ++record) {
            expected += records[record];
        }
        const bool isCovered = parts >= minShardRatio * this->configuration.shards
            && parts + attempt.missingParts == this->configuration.shards;
        if (static_cast<int>(services.size()) != parts || !isCovered || attempt.body != expected) {
            this->report("MIXED",
                         attempt.attemptId,
                         " has ",
                         parts,
                         " parts, ",
                         attempt.missingParts,
                         " missing, or a wrong body");
        }
    }

    /// Requests that were sent within a window and ran.
    void checkOrganisationRate()
    {
        std::vector<double> times;
        for (const CallerAttempt &attempt : this->observations.attempts) {
            const auto arrivals = this->arrivalsOf(attempt.attemptId);
            const bool hasRun
                = std::any_of(arrivals.begin(), arrivals.end(), [](const Arrival *arrival) { return arrival->ran; });
            if (hasRun && attempt.organisation == "limited") {
                times.push_back(attempt.sentAt);
            }
        }
        std::sort(times.begin(), times.end());
        const double owed
            = this->configuration.organisationRate * quotaWindowSeconds + this->configuration.organisationBurst;
        const double allowed = owed * (1 + quotaOverage) + quotaTolerance;
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto last = std::lower_bound(first, times.end(), *first + quotaWindowSeconds);
            if (static_cast<double>(last - first) > allowed) {
                this->report("QUOTA", last - first, " requests in 5 s from ", *first);
                return;
            }
        }
    }

    /// A request that was sent too long after its key was withdrawn must not run, whatever happened to the instance.
    void checkWithdrawnKeys()
    {
        for (const KeyWithdrawal &withdrawal : this->observations.withdrawals) {
            for (const CallerAttempt &attempt : this->observations.attempts) {
                const bool isLater = attempt.sentAt > withdrawal.at + this->configuration.revocationSeconds;
                const auto arrivals = this->arrivalsOf(attempt.attemptId);
                const bool hasRun = std::any_of(
                    arrivals.begin(), arrivals.end(), [](const Arrival *arrival) { return arrival->ran; });
                if (isLater && hasRun && attempt.organisation == withdrawal.organisation) {
                    this->report("CONFIG",
                                 attempt.attemptId,
                                 " ran ",
                                 attempt.sentAt - withdrawal.at,
                                 " s after its key was withdrawn");
                }
            }
        }
    }

    void checkRemovedEndpoints()
    {
        for (const EndpointRemoval &removal : this->observations.removals) {
            for (const Arrival *arrival : this->arrivalsByEndpoint[removal.endpoint]) {
                const bool isLate = arrival->at > removal.from + drainSeconds && arrival->at < removal.until;
                const double from = removal.from - contactSeconds;
                if (isLate && !this->wasDisturbed(instanceOf(arrival->attemptId), from, arrival->at)
                    && !this->wasStoreAway(from, arrival->at)) {
                    this->report("DRAIN", arrival->attemptId, " reached ", removal.endpoint, ", which is gone");
                }
            }
        }
    }

    bool wasRestarted(const std::string &endpoint, double from, double until) const
    {
        return std::any_of(this->observations.removals.begin(),
                           this->observations.removals.end(),
                           [&](const EndpointRemoval &removal) {
                               return removal.endpoint == endpoint && removal.until >= from && removal.until <= until;
                           });
    }

    bool wasStoreAway(double from, double until) const
    {
        return std::any_of(this->observations.outages.begin(),
                           this->observations.outages.end(),
                           [=](const StoreOutage &outage) { return outage.from < until && outage.until > from; });
    }

    void checkStatements()
    {
        std::map<std::string, std::vector<const Statement *>> limits;
        std::map<std::pair<std::string, int>, double> firstLeavingAt;
        for (const Statement &statement : this->observations.statements) {
            switch (statement.kind) {
            case Statement::Kind::RateLimit:
                limits[statement.endpoint].push_back(&statement);
                break;
            case Statement::Kind::Backoff:
                this->checkBackoff(statement);
                break;
            case Statement::Kind::Leaving:
                if (const auto at = this->passedOnAt(statement)) {
                    const auto [first, isNew]
                        = firstLeavingAt.try_emplace({ statement.endpoint, statement.instance }, *at);
                    first->second = std::min(first->second, *at);
                }
                break;
            }
        }
        for (const auto &[endpoint, statements] : limits) {
            this->checkLimit(endpoint, statements);
        }
        for (const auto &[key, at] : firstLeavingAt) {
            this->checkLeaving(key.first, key.second, at);
        }
    }

    void checkBackoff(const Statement &statement)
    {
        const double until = statement.at + statement.value;
        int count = 0;
        for (const Arrival *arrival : this->arrivalsByEndpoint[statement.endpoint]) {
            const bool isInTime = arrival->at > statement.at + reactionSeconds && arrival->at < until;
            count += isInTime && instanceOf(arrival->attemptId) == statement.instance ? 1 : 0;
        }
        if (count > allowedDuringBackoff && !this->wasDisturbed(statement.instance, statement.at, until)
            && !this->wasRestarted(statement.endpoint, statement.at, until)) {
            this->report("BUDGET",
                         count,
                         " requests from instance ",
                         statement.instance,
                         " reached ",
                         statement.endpoint,
                         ", which wanted none for ",
                         statement.value,
                         " s from ",
                         statement.at);
        }
    }

    /// When the caller had the response with the statement; std::nullopt if the instance has not passed it on. A
    /// response that arrives after that of a hedge, for example, ends with its connection and tells the instance
    /// nothing.
    std::optional<double> passedOnAt(const Statement &statement) const
    {
        const auto entry = this->attemptsById.find(statement.attemptId);
        if (entry == this->attemptsById.end()) {
            return std::nullopt;
        }
        const CallerAttempt &attempt = *entry->second;
        const std::string stamp = EndpointStandin::stampOf(attempt.attemptId, statement.endpoint);
        const std::vector<std::string> stamps = stampsOf(attempt);
        const bool isPassedOn = std::find(stamps.begin(), stamps.end(), stamp) != stamps.end();
        return isPassedOn ? std::optional(attempt.endedAt) : std::nullopt;
    }

    /// @p instance has passed on a response at @p at in which @p endpoint said that it leaves.
    void checkLeaving(const std::string &endpoint, int instance, double at)
    {
        for (const Arrival *arrival : this->arrivalsByEndpoint[endpoint]) {
            const bool isOwn = instanceOf(arrival->attemptId) == instance;
            if (isOwn && arrival->at > at + drainSeconds && !this->wasDisturbed(instance, at, arrival->at)
                && !this->wasRestarted(endpoint, at, arrival->at)) {
                this->report("DRAIN",
                             arrival->attemptId,
                             " reached ",
                             endpoint,
                             " at ",
                             arrival->at,
                             " s, although it had said that it leaves in a response passed on at ",
                             at,
                             " s");
                return;
            }
        }
    }

    /// True if @p instance had passed on the limit early enough before @p at, and was not disturbed since.
    bool knewLimit(const std::vector<const Statement *> &statements, int instance, double at) const
    {
        return std::any_of(statements.begin(), statements.end(), [&](const Statement *statement) {
            return statement->instance == instance && statement->at + reactionSeconds <= at
                && !this->wasDisturbed(instance, statement->at, at);
        });
    }

    void checkLimit(const std::string &endpoint, const std::vector<const Statement *> &statements)
    {
        const double limit = statements.front()->value;
        const double checkedFrom = statements.front()->at + contactSeconds;
        std::vector<double> times;
        for (const Arrival *arrival : this->arrivalsByEndpoint[endpoint]) {
            const bool isChecked = arrival->at >= checkedFrom && arrival->at <= statements.back()->at;
            if (isChecked && this->knewLimit(statements, instanceOf(arrival->attemptId), arrival->at)) {
                times.push_back(arrival->at);
            }
        }
        std::sort(times.begin(), times.end());
        const double allowed = limitFactor * limit * limitWindowSeconds + limitExtra;
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto last = std::lower_bound(first, times.end(), *first + limitWindowSeconds);
            if (static_cast<double>(last - first) > allowed) {
                this->report(
                    "LIMIT", endpoint, " got ", last - first, " requests in 4 s from ", *first, ", limit ", limit);
                return;
            }
        }
    }

    const Observations &observations;
    CheckedConfiguration configuration;
    std::map<std::string, std::vector<const Arrival *>> arrivalsByAttempt;
    std::map<std::string, const CallerAttempt *> attemptsById;
    std::map<std::string, std::vector<const Arrival *>> arrivalsByEndpoint;
    int lostReplies = 0;
    std::vector<std::string> violations;
};

}

std::vector<std::string> findViolations(const Observations &observations, const CheckedConfiguration &configuration)
{
    return Checker(observations, configuration).run();
}

}

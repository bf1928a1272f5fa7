#pragma once

#include "admission/admissiongate.h"
#include "query/partrouter.h"

#include <utility>
#include <vector>

namespace Lycheewall
{

/// Keeps submissions until a test ends them.
class FakeRouter : public PartRouter
{
public:
    std::uint64_t submit(PartRequest request, Callback callback) override
    {
        this->submitted.emplace_back(std::move(request), std::move(callback));
        return this->submitted.size();
    }
    void cancel(std::uint64_t /*submission*/) override
    {
    }

    /// Ends the first part of the newest submission.
    void end(AttemptOutcome outcome, Refusal reason, const std::string &body = "")
    {
        const auto [request, callback] = this->submitted.back();
        PartOutcome ended;
        ended.group = request.groups.front();
        ended.outcome = outcome;
        ended.reason = reason;
        ended.snapshot = request.snapshot;
        ended.documents = 1;
        ended.body = body;
        callback(ended);
    }

    std::vector<std::pair<PartRequest, Callback>> submitted;
};

/// Keeps callers waiting until a test answers them.
class FakeAdmission : public AdmissionGate
{
public:
    void acquire(const OrganisationId &organisation, Duration patience, Callback callback) override
    {
        this->organisations.push_back(organisation);
        this->patience = patience;
        this->waiting.push_back(std::move(callback));
    }

    std::vector<OrganisationId> organisations;
    Duration patience {};
    std::vector<Callback> waiting;
};

}

#include "forwarding/throttledadmission.h"

#include "core/manualclock.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

OrganisationSpec organisation(const std::string &id, double ratePerSecond)
{
    OrganisationSpec spec;
    spec.id = OrganisationId(id);
    spec.ratePerSecond = ratePerSecond;
    return spec;
}

struct Fixture
{
    double reserve(int priority, const OrganisationSpec *spec = nullptr)
    {
        return this->admission.reserveForOthers(priority, spec, this->clock.now());
    }

    /// Each organisation sends its number of requests, spread over one second.
    void send(const std::vector<std::pair<const OrganisationSpec *, int>> &requests)
    {
        constexpr int steps = 100;
        for (int step = 0; step < steps; ++step) {
            this->clock.advance(Milliseconds(10));
            for (const auto &[spec, count] : requests) {
                for (int sent = step * count / steps; sent < (step + 1) * count / steps; ++sent) {
                    this->admission.recordSent(1, spec, this->clock.now());
                }
            }
        }
    }

    ManualClock clock;
    ThrottledAdmission admission;
};

}

BOOST_FIXTURE_TEST_SUITE(ThrottledAdmissionTest, Fixture)

// Guards against less urgent requests that take the last tokens while more urgent ones come.
BOOST_AUTO_TEST_CASE(lessUrgentRequestsLeaveLastTokens)
{
    BOOST_TEST(this->reserve(1) == 0);
    BOOST_TEST(this->reserve(2) > 0);
    BOOST_TEST(this->reserve(1) == 0);
}

// Guards against tokens that are kept for urgent requests after these have ended, or that only priority 0 may use.
BOOST_AUTO_TEST_CASE(reserveEndsWithTheUrgentRequests)
{
    this->reserve(1);
    this->clock.advance(std::chrono::seconds(3));
    BOOST_TEST(this->reserve(7) == 0);
}

// Guards against an organisation that takes the share of others.
BOOST_AUTO_TEST_CASE(organisationAboveItsShareLeavesLastTokens)
{
    const OrganisationSpec many = organisation("many", 10);
    const OrganisationSpec few = organisation("few", 10);
    this->send({ { &many, 30 }, { &few, 10 } });
    BOOST_TEST(this->reserve(1, &many) > 0);
    BOOST_TEST(this->reserve(1, &few) == 0);
}

// Guards against equal shares of organisations that may send different rates.
BOOST_AUTO_TEST_CASE(sharesAreProportionalToTheRates)
{
    const OrganisationSpec large = organisation("large", 90);
    const OrganisationSpec small = organisation("small", 10);
    this->send({ { &large, 30 }, { &small, 10 } });
    BOOST_TEST(this->reserve(1, &large) == 0);
    BOOST_TEST(this->reserve(1, &small) > 0);
}

// Guards against an organisation whose fair share shrinks because of others that send nothing any more, and against one
// that is alone and leaves tokens to nobody.
BOOST_AUTO_TEST_CASE(shareOfIdleOrganisationsIsFree)
{
    const OrganisationSpec active = organisation("active", 10);
    const OrganisationSpec idle = organisation("idle", 90);
    this->send({ { &active, 30 }, { &idle, 10 } });
    BOOST_TEST(this->reserve(1, &active) > 0);
    this->send({ { &active, 30 } });
    this->send({ { &active, 30 } });
    this->send({ { &active, 30 } });
    BOOST_TEST(this->reserve(1, &active) == 0);
}

// Guards against an urgent organisation that counts as too busy because less urgent requests of others are refused.
BOOST_AUTO_TEST_CASE(sharesAreOfOnePriority)
{
    const OrganisationSpec urgent = organisation("urgent", 10);
    this->send({ { &urgent, 30 } });
    const OrganisationSpec other = organisation("other", 10);
    this->admission.recordSent(2, &other, this->clock.now());
    BOOST_TEST(this->reserve(1, &urgent) == 0);
}

// Guards against a public route or an organisation without a limit that is not counted.
BOOST_AUTO_TEST_CASE(publicRequestsHaveAShare)
{
    const OrganisationSpec unlimited = organisation("unlimited", 0);
    this->send({ { nullptr, 30 }, { &unlimited, 10 } });
    BOOST_TEST(this->reserve(1, nullptr) > 0);
    BOOST_TEST(this->reserve(1, &unlimited) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}

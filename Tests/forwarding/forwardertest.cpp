#include "forwarding/forwarder.h"
#include "forwarding/fixture.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

namespace
{

struct ForwarderFixture : public ForwardingFixture
{
    ForwarderFixture()
    {
        this->routeToService();
        OrganisationSpec organisation;
        organisation.id = OrganisationId("org");
        organisation.keys = { KeyCheck::hash("secret") };
        organisation.ratePerSecond = 10;
        organisation.burst = 10;
        this->content.organisations.push_back(organisation);
    }

    void install()
    {
        const auto built = this->table();
        this->forwarder.setTable(built);
        this->quota.setLimits(built->organisations());
        this->freshness.confirm(this->clock.now());
    }

    void forward(const std::string &target, const std::optional<std::string> &key)
    {
        const auto sent = request(this->clock.now());
        sent->target = target;
        sent->apiKey = key;
        this->exchange
            = this->forwarder.forward(sent, [this](const ForwardReply &reply) { this->replies.push_back(reply); });
    }

    Refusal refusal(const std::string &target, const std::optional<std::string> &key)
    {
        this->replies.clear();
        this->forward(target, key);
        return this->replies.empty() ? Refusal::None : this->replies.front().refusal;
    }

    FeedFreshness freshness { clock };
    Forwarder forwarder { {}, context, freshness };
};

}

BOOST_FIXTURE_TEST_SUITE(ForwarderTest, ForwarderFixture)

// Guards against a 404 or 401 from an instance that knows no routes yet.
BOOST_AUTO_TEST_CASE(refusesBeforeTheFirstTable)
{
    BOOST_TEST((this->refusal("/x", "secret") == Refusal::NotReady));
    BOOST_TEST(this->replies.at(0).notRun);
}

// Guards against requests that run without a key, or with an unknown one.
BOOST_AUTO_TEST_CASE(checksKeys)
{
    this->install();
    BOOST_TEST((this->refusal("/x", std::nullopt) == Refusal::KeyMissing));
    BOOST_TEST((this->refusal("/x", "wrong") == Refusal::KeyUnknown));
    BOOST_TEST(this->caller.calls.empty());
    BOOST_TEST((this->refusal("/x", "secret") == Refusal::None));
    BOOST_TEST((this->call(0).call.organisation == OrganisationId("org")));
}

// Guards against a withdrawn key that opens a route on an instance that is cut off.
BOOST_AUTO_TEST_CASE(refusesKeysWhenKnowledgeIsOld)
{
    this->install();
    this->clock.advance(Milliseconds(2900));
    BOOST_TEST((this->refusal("/x", "secret") == Refusal::None));
    this->clock.advance(Milliseconds(200));
    BOOST_TEST((this->refusal("/x", "secret") == Refusal::StaleConfiguration));
    BOOST_TEST(this->replies.at(0).notRun);
}

// Guards against a process that wakes from a pause and trusts what it knew before.
BOOST_AUTO_TEST_CASE(refusesKeysAfterAPause)
{
    this->install();
    this->clock.advanceWithoutTimers(std::chrono::seconds(5));
    BOOST_TEST((this->refusal("/x", "secret") == Refusal::StaleConfiguration));
}

// Guards against a "no such route" for a route that was added while this instance was cut off.
BOOST_AUTO_TEST_CASE(deniesOnlyWithFreshKnowledge)
{
    this->route.prefix = "/known/";
    this->install();
    BOOST_TEST((this->refusal("/unknown/", "secret") == Refusal::UnknownRoute));
    this->clock.advance(Milliseconds(1600));
    BOOST_TEST((this->refusal("/unknown/", "secret") == Refusal::StaleConfiguration));
    BOOST_TEST((this->refusal("/known/", "wrong") == Refusal::StaleConfiguration));
}

// Guards against requests beyond the rate, and against a refusal without the time to come back.
BOOST_AUTO_TEST_CASE(refusesBeyondTheRate)
{
    this->install();
    this->clock.advance(Milliseconds(1500));
    this->freshness.confirm(this->clock.now());
    int admitted = 0;
    while (this->refusal("/x", "secret") == Refusal::None) {
        ++admitted;
    }
    BOOST_TEST(admitted == 10);
    BOOST_REQUIRE(this->replies.at(0).retryAfter.has_value());
    this->clock.advance(*this->replies.at(0).retryAfter + Milliseconds(1));
    BOOST_TEST((this->refusal("/x", "secret") == Refusal::None));
}

// Guards against work on a request whose caller no longer waits.
BOOST_AUTO_TEST_CASE(refusesPassedDeadlines)
{
    this->install();
    const auto sent = request(this->clock.now());
    sent->apiKey = "secret";
    sent->deadline = this->clock.now();
    this->forwarder.forward(sent, [this](const ForwardReply &reply) { this->replies.push_back(reply); });
    BOOST_TEST((this->replies.at(0).refusal == Refusal::DeadlineUnreachable));
    BOOST_TEST(this->caller.calls.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}

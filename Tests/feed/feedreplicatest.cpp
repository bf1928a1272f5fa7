#include "feed/feedreplica.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(FeedReplicaTest)

namespace
{

constexpr std::size_t noLimit = std::size_t { 1 } << 30U;

struct Fixture
{
    Fixture()
    {
        this->replica.setListener([this](const FeedEvent &event) { this->received.push_back(event); });
        this->replica.replace({ { "a", "1", 3, false }, { "b", "2", 5, false } }, { {}, 10 });
    }
    void change(const std::string &key, const std::string &value, Revision revision)
    {
        this->replica.apply({ { { key, value, revision, false } }, { {}, revision }, {}, false });
    }

    FeedReplica replica;
    std::vector<FeedEvent> received;
};

}

// Guards against responses and memory that grow with the number of changes: a reader that is behind needs only the
// latest value of each entry.
BOOST_FIXTURE_TEST_CASE(keepsOnlyTheLatestChangeOfAnEntry, Fixture)
{
    for (Revision revision = 11; revision <= 1000; ++revision) {
        this->change("a", std::to_string(revision), revision);
    }
    const FeedBatch batch = this->replica.changesAfter({ {}, 10 }, noLimit).value();
    BOOST_REQUIRE(batch.events.size() == 1U);
    BOOST_TEST(batch.events.front().value == "1000");
    BOOST_TEST(batch.position.revision == 1000U);
    BOOST_TEST(!batch.hasMore);
}

// Guards against changes that are lost or repeated when a response is limited in size, and against a change larger than
// the limit that is never sent.
BOOST_FIXTURE_TEST_CASE(limitedBatchesAddUpToAllChanges, Fixture)
{
    this->change("large", std::string(5000, 'x'), 11);
    for (Revision revision = 12; revision < 100; ++revision) {
        this->change("key-" + std::to_string(revision), std::string(100, 'y'), revision);
    }
    FeedReplica reader;
    reader.replace({ { "a", "1", 3, false }, { "b", "2", 5, false } }, { {}, 10 });
    bool hasMore = true;
    for (int request = 0; hasMore && request < 100; ++request) {
        const FeedBatch batch = this->replica.changesAfter(reader.position(), 1000).value();
        BOOST_TEST((batch.events.size() == 1 || batch.events.size() <= 10));
        reader.apply(batch);
        hasMore = batch.hasMore;
    }
    BOOST_TEST(!hasMore);
    BOOST_TEST(reader.items().size() == this->replica.items().size());
    BOOST_TEST(reader.position() == this->replica.position());
}

// Guards against entries that were removed but stay in use at an instance that reads from another one.
BOOST_FIXTURE_TEST_CASE(removalIsPassedOn, Fixture)
{
    this->replica.apply({ { { "a", {}, 12, true } }, { {}, 12 }, {}, false });
    BOOST_TEST(this->replica.items().size() == 1U);
    const FeedBatch batch = this->replica.changesAfter({ {}, 10 }, noLimit).value();
    BOOST_REQUIRE(batch.events.size() == 1U);
    BOOST_TEST(batch.events.front().deleted);
    this->change("a", "3", 13);
    BOOST_TEST(!this->replica.changesAfter({ {}, 10 }, noLimit).value().events.front().deleted);
    BOOST_TEST(this->replica.listAfter({}, noLimit).items.size() == 2U);
}

// Guards against a reader that resumes although removals were forgotten, and keeps the removed entries.
BOOST_FIXTURE_TEST_CASE(forgottenRemovalsRequireListing, Fixture)
{
    for (Revision revision = 11; revision < 20000; revision += 2) {
        const std::string key = "key-" + std::to_string(revision);
        this->change(key, "v", revision);
        this->replica.apply({ { { key, {}, revision + 1, true } }, { {}, revision + 1 }, {}, false });
    }
    BOOST_TEST((this->replica.changesAfter({ {}, 10 }, noLimit).error() == FeedError::HistoryCompacted));
    BOOST_TEST(this->replica.hasChangesAfter({ {}, 10 }));
    BOOST_TEST(this->replica.changesAfter({ {}, 19990 }, noLimit).value().events.size() <= 10U);
    BOOST_TEST(this->replica.items().size() == 2U);
}

// Guards against entries that are lost between two pages of a limited listing.
BOOST_FIXTURE_TEST_CASE(limitedPagesHoldAllEntries, Fixture)
{
    for (Revision revision = 12; revision < 100; ++revision) {
        this->change("key-" + std::to_string(revision), std::string(100, 'y'), revision);
    }
    std::size_t entries = 0;
    FeedPage page;
    do {
        page = this->replica.listAfter(page.items.empty() ? std::string() : page.items.back().key, 1000);
        entries += page.items.size();
        std::size_t bytes = 0;
        for (const FeedEvent &item : page.items) {
            bytes += item.key.size() + item.value.size();
        }
        BOOST_TEST(bytes <= 1000U);
    } while (page.hasMore);
    BOOST_TEST(entries == this->replica.items().size());
}

// Guards against a listener that is told of the removal of an entry that it has never seen.
BOOST_FIXTURE_TEST_CASE(removalOfUnknownEntryIsNotReported, Fixture)
{
    const std::size_t before = this->received.size();
    this->replica.apply({ { { "unknown", {}, 12, true } }, { {}, 12 }, {}, false });
    BOOST_TEST(this->received.size() == before);
}

// Guards against entries of an older era that stay because their revisions are higher than those of the new one, and
// against readers that resume from a revision that was given out again.
BOOST_FIXTURE_TEST_CASE(newEraReplacesHigherRevisions, Fixture)
{
    this->change("c", "3", 15);
    this->replica.apply({ { { "b", {}, 16, true } }, { {}, 16 }, {}, false });
    this->received.clear();
    this->replica.replace({ { "a", "1", 3, false }, { "b", "2", 5, false }, { "d", "4", 6, false } },
                          { StoreEra(1), 6 });
    BOOST_REQUIRE(this->received.size() == 3U);
    BOOST_TEST(this->received[0].key == "b");
    BOOST_TEST(this->received[0].reappeared);
    BOOST_TEST(this->received[1].key == "d");
    BOOST_TEST(!this->received[1].reappeared);
    BOOST_TEST(this->received[2].key == "c");
    BOOST_TEST(this->received[2].deleted);
    BOOST_TEST(this->replica.hasChangesAfter({ {}, 16 }));
    BOOST_TEST((this->replica.changesAfter({ {}, 6 }, noLimit).error() == FeedError::HistoryCompacted));
    BOOST_TEST(!this->replica.hasChangesAfter({ StoreEra(1), 6 }));
}

// Guards against an entry whose removal was seen in a listing, and that is taken for new when the store goes back.
BOOST_FIXTURE_TEST_CASE(removalSeenInListingIsKnownInNewEra, Fixture)
{
    this->replica.replace({ { "a", "1", 3, false } }, { {}, 12 });
    this->received.clear();
    this->replica.replace({ { "a", "1", 3, false }, { "b", "2", 5, false } }, { StoreEra(1), 10 });
    BOOST_REQUIRE(this->received.size() == 1U);
    BOOST_TEST(this->received[0].key == "b");
    BOOST_TEST(this->received[0].reappeared);
}

// Guards against changes and listings of another era that are taken for later ones by their revisions.
BOOST_FIXTURE_TEST_CASE(otherErasAreIgnored, Fixture)
{
    this->replica.replace({ { "a", "1", 3, false } }, { StoreEra(2), 6 });
    this->replica.apply({ { { "a", "era 1", 30, false } }, { StoreEra(1), 30 }, {}, false });
    this->replica.apply({ { { "a", "era 3", 31, false } }, { StoreEra(3), 31 }, {}, false });
    this->replica.replace({ { "a", "era 1", 40, false } }, { StoreEra(1), 40 });
    BOOST_TEST(this->replica.items().front().value == "1");
    BOOST_TEST(this->replica.position() == (FeedPosition { StoreEra(2), 6 }));
}

BOOST_AUTO_TEST_SUITE_END()

}

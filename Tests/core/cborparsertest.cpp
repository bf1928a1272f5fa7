#include "core/cborparser.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(CborParserTest)

// Guards against a message that exhausts the stack of the parser, which recurses for each level.
BOOST_AUTO_TEST_CASE(rejectsDeeplyNestedItems)
{
    constexpr std::size_t depth = 4'000'000;
    const std::string lists = std::string(depth, '\x81') + '\0';
    BOOST_TEST((parseCbor(lists).error() == CborError::NestedTooDeeply));
    BOOST_TEST((parseCbor(std::string(depth, '\x5f')).error() == CborError::Malformed));
    BOOST_TEST((parseCbor(std::string(depth, '\xc1')).error() == CborError::Malformed));
}

// Guards against a list that claims more entries than memory can hold.
BOOST_AUTO_TEST_CASE(rejectsListsBeyondTheBound)
{
    BOOST_TEST((parseCbor("\x9a\xff\xff\xff\xff").error() == CborError::ListTooLong));
    BOOST_TEST((parseCbor("\x83\x01\x02").error() == CborError::Malformed));
}

// Guards against bytes behind the item, which belong to no message.
BOOST_AUTO_TEST_CASE(acceptsOneCompleteItemOnly)
{
    const auto parsed = parseCbor("\x82\x01\x02");
    BOOST_REQUIRE(parsed);
    BOOST_TEST((parsed.value() == nlohmann::json { 1, 2 }));
    BOOST_TEST(!parseCbor("\x82\x01\x02\x03"));
    BOOST_TEST(!parseCbor(""));
}

BOOST_AUTO_TEST_SUITE_END()

}

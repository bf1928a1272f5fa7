#include "storefeed.h"

#include "gateway/rawhttpserver.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace Lycheewall::Platform
{

BOOST_AUTO_TEST_SUITE(StoreFeedTest)

namespace
{

/// The response to a list or a watch without entries, with the header field @p field.
std::string responseWith(const std::string &field)
{
    const std::string body = R"({"events":[],"items":[],"At":9})";
    std::string response = "HTTP/1.1 200 OK\r\n";
    response += field;
    response += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return response + body;
}

}

// Guards against an era that is misread, and against a response with an unreadable one that is taken for one without.
BOOST_AUTO_TEST_CASE(responsesNameTheEra)
{
    const std::vector<std::pair<std::string, Result<StoreEra>>> cases {
        { "", StoreEra(0) },
        { "Store-Era: 7\r\n", StoreEra(7) },
        { "store-era: 18446744073709551615\r\n", StoreEra(18446744073709551615U) },
        { "Store-Era: seven\r\n", make_error_code(FeedError::MalformedResponse) },
        { "Store-Era: -1\r\n", make_error_code(FeedError::MalformedResponse) },
        { "Store-Era: 18446744073709551616\r\n", make_error_code(FeedError::MalformedResponse) },
    };
    for (const auto &[field, expected] : cases) {
        boost::asio::io_context io;
        RawHttpServer server(io, [text = responseWith(field)](int) -> std::string { return text; });
        StoreFeedSource feed(io, server.address());
        StoreRevisionSource positions(io, server.address());
        std::optional<Result<FeedBatch>> batch;
        std::optional<Result<FeedPosition>> position;
        feed.watch({}, {}, [&batch](const Result<FeedBatch> &received) { batch = received; });
        positions.currentPosition([&position](const Result<FeedPosition> &received) { position = received; });
        BOOST_REQUIRE(runUntil(io, [&] { return batch.has_value() && position.has_value(); }));
        BOOST_TEST_CONTEXT("field " << field)
        {
            BOOST_REQUIRE(batch->has_value() == expected.has_value());
            BOOST_REQUIRE(position->has_value() == expected.has_value());
            if (expected) {
                BOOST_TEST(batch->value().position == (FeedPosition { expected.value(), 9 }));
                BOOST_TEST(position->value() == (FeedPosition { expected.value(), 9 }));
            } else {
                BOOST_TEST((batch->error() == expected.error() && position->error() == expected.error()));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}

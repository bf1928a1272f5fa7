#include "forwarding/routequerycodec.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

BOOST_AUTO_TEST_SUITE(RouteQueryCodecTest)

// Guards against a path with a query of its own, or an unusual name, that ends the parameter.
BOOST_AUTO_TEST_CASE(decodesWhatWasEncoded)
{
    ExplanationRequest request;
    request.query.host = "host.example";
    request.query.target = "/a b?c=d&e=%2f+#";
    request.query.method = "POST";
    request.query.organisation = OrganisationId("a&b=c");
    request.query.deadline = Milliseconds(250);
    request.format = ExplanationFormat::Text;
    const std::string target = encodeExplanationTarget(request);
    BOOST_TEST(isExplanationTarget(target));
    const auto decoded = decodeExplanationTarget(target);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded.value().query.host == request.query.host);
    BOOST_TEST(decoded.value().query.target == request.query.target);
    BOOST_TEST(decoded.value().query.method == request.query.method);
    BOOST_TEST(*decoded.value().query.organisation == *request.query.organisation);
    BOOST_TEST((decoded.value().query.deadline == request.query.deadline));
    BOOST_TEST((decoded.value().format == ExplanationFormat::Text));
}

// Guards against a request that is explained although it says something else, and against a message that repeats a
// value, such as a key that was sent by mistake.
BOOST_AUTO_TEST_CASE(namesTheInvalidParameter)
{
    const std::map<std::string, std::string> cases {
        { "/explain", "host" },
        { "/explain?host=h", "path" },
        { "/explain?host=&path=/", "host" },
        { "/explain?host=h&path=x", "path" },
        { "/explain?host=h&path=%2", "path" },
        { "/explain?host=h&path=/%0a", "path" },
        { "/explain?host=h&path=/&path=/", "path" },
        { "/explain?host=h&path=/&key=secret", "key" },
        { "/explain?host=h&path=/&organisation", "organisation" },
        { "/explain?host=h&path=/&deadline-ms=0", "deadline-ms" },
        { "/explain?host=h&path=/&deadline-ms=99999999999999999999", "deadline-ms" },
        { "/explain?host=h&path=/&format=xml", "format" },
    };
    for (const auto &[target, parameter] : cases) {
        const auto decoded = decodeExplanationTarget(target);
        BOOST_REQUIRE(!decoded);
        BOOST_TEST(decoded.error().parameter == parameter);
        BOOST_TEST(decoded.error().problem.find("secret") == std::string::npos);
    }
}

// Guards against metrics requests that are taken for explanations.
BOOST_AUTO_TEST_CASE(leavesOtherTargets)
{
    for (const char *target : { "/metrics", "/", "/explained", "/metrics?x=/explain" }) {
        BOOST_TEST(!isExplanationTarget(target));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}

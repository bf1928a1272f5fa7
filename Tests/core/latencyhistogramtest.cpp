#include "core/latencyhistogram.h"

#include <boost/test/unit_test.hpp>

namespace Lycheewall
{

// Guards against buckets that are not cumulative, or that exclude durations equal to their upper bound.
BOOST_AUTO_TEST_CASE(histogramBucketsAreCumulative)
{
    LatencyHistogram histogram;
    histogram.record(Milliseconds(1));
    histogram.record(Milliseconds(3));
    histogram.record(Milliseconds(9000));
    const std::string text = histogram.exposition("h");
    BOOST_TEST(text.find("h_bucket{le=\"1\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find("h_bucket{le=\"2\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find("h_bucket{le=\"5\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("h_bucket{le=\"5000\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("h_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("h_sum 9004\n") != std::string::npos);
    BOOST_TEST(text.find("h_count 3\n") != std::string::npos);
}

}

#include "peer/codec/peercodec.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace Lycheewall;

namespace
{

/// One message of each kind, each field with a value other than its default.
std::vector<PeerMessage> samples()
{
    const InstanceId instance("i-1");
    const Incarnation incarnation("run-7");
    const ResourceId resource("group/marking/g-3");
    const OrganisationId school("school");
    return {
        Hello { 3, instance, incarnation, ZoneId("z-2"), "10.0.0.1:80" },
        Ping { 7 },
        Pong { std::numeric_limits<std::uint64_t>::max() },
        Gossip { InstanceState::Leaving,
                 incarnation,
                 ValueVersion(4),
                 ValueVersion(5),
                 "10.0.0.1:80",
                 { resource, ResourceId("organisation/school") },
                 { EndpointId("e-1") },
                 -1 },
        ConfigurationRequest { "catalogue", ValueVersion(9) },
        ConfigurationValue { "catalogue", ValueVersion(10), std::string(1024 * 1024, 'x') },
        LeaseRequest { 1, { resource }, ValueVersion(2) },
        LeaseReply { 1, { resource }, { { ResourceId("r"), instance, -5 } }, ValueVersion(2), ValueVersion(3) },
        LeaseRelease { 6, { resource } },
        TokenRequest { 2, school, 30, 4, 1 },
        TokenReply { 2, school, 29, 250, 120, Refusal::RateExceeded, instance },
        SubRequest { 5,
                     RequestId("q"),
                     school,
                     PoolId("marking"),
                     SnapshotVersion(6),
                     { GroupId("g") },
                     false,
                     250,
                     std::string("\x00\xff body", 7) },
        SubAnswer { 5,
                    GroupId("g"),
                    AttemptOutcome::NotRun,
                    Refusal::EndpointCold,
                    SnapshotVersion(6),
                    12,
                    "[]",
                    EndpointId("e"),
                    1,
                    2,
                    3,
                    4,
                    instance,
                    5 },
        SubCancel { 5, { GroupId("g") } },
    };
}

std::error_code decodeError(const std::string &frame)
{
    const auto result = PeerCodec::decode(frame);
    return result ? std::error_code() : result.error();
}

std::string cbor(const nlohmann::json &value)
{
    std::string frame;
    nlohmann::json::to_cbor(value, nlohmann::detail::output_adapter<char>(frame));
    return frame;
}

}

BOOST_AUTO_TEST_SUITE(PeerCodecTest)

// Guards against a field that is written but not read back, or read into another one. Frames are maps in key order, so
// equal messages have equal frames.
BOOST_AUTO_TEST_CASE(eachMessageComesBackWhole)
{
    const auto messages = samples();
    BOOST_TEST(messages.size() == std::variant_size_v<PeerMessage>);
    for (const PeerMessage &message : messages) {
        const std::string frame = PeerCodec::encodeChecked(message).value();
        const auto decoded = PeerCodec::decode(frame);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(decoded.value().index() == message.index());
        BOOST_TEST((PeerCodec::encode(decoded.value()) == frame));
    }
    const auto answer = std::get<SubAnswer>(PeerCodec::decode(PeerCodec::encode(messages[12])).value());
    BOOST_TEST(answer.retries == 2U);
    BOOST_TEST(answer.serviceUs == 4);
    BOOST_TEST((answer.reason == Refusal::EndpointCold));
}

// Guards against a newer peer whose added fields or reasons end the link.
BOOST_AUTO_TEST_CASE(unknownFieldsAndReasonsAreTolerated)
{
    auto map = nlohmann::json::from_cbor(PeerCodec::encode(TokenReply {}));
    map["term"] = { { "list", { 1, 2.5, nullptr } } };
    map["r"] = "reason-of-tomorrow";
    const auto decoded = PeerCodec::decode(cbor(map));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((std::get<TokenReply>(decoded.value()).reason == Refusal::OutcomeUnknown));
}

// Guards against accepting half a message: each field of each message, once absent and once ill-typed.
BOOST_AUTO_TEST_CASE(missingAndIllTypedFieldsAreRefused)
{
    for (const PeerMessage &message : samples()) {
        const auto map = nlohmann::json::from_cbor(PeerCodec::encode(message));
        for (const auto &[key, value] : map.items()) {
            auto without = map;
            without.erase(key);
            BOOST_TEST(decodeError(cbor(without)) == make_error_code(PeerCodecError::MissingField));
            for (const nlohmann::json &wrong : { nlohmann::json(1.5), nlohmann::json::object(), nlohmann::json() }) {
                auto illTyped = map;
                illTyped[key] = wrong;
                BOOST_TEST(decodeError(cbor(illTyped)) == make_error_code(PeerCodecError::IllTypedField));
            }
        }
    }
    BOOST_TEST(decodeError(cbor({ { "t", "pi" }, { "s", -1 } })) == make_error_code(PeerCodecError::IllTypedField));
    BOOST_TEST(decodeError(cbor({ { "t", "zz" } })) == make_error_code(PeerCodecError::UnknownType));
    BOOST_TEST(decodeError(cbor({ 1, 2 })) == make_error_code(PeerCodecError::NotAMap));
}

// Guards against stack overflow and memory growth by hostile frames: nested lists, nested indefinite strings, tags,
// lengths beyond the frame, and lists and frames beyond their bounds.
BOOST_AUTO_TEST_CASE(hostileFramesAreRefused)
{
    const auto malformed = make_error_code(PeerCodecError::Malformed);
    for (const char head : { '\x7f', '\x5f', '\x9f', '\xbf', '\xc1', '\x9b', '\xbb', '\x7b', '\xff' }) {
        BOOST_TEST(bool(decodeError(std::string(maxPeerFrameBytes, head))));
    }
    BOOST_TEST(decodeError(std::string(maxPeerFrameBytes, '\x81')) == make_error_code(PeerCodecError::NestedTooDeeply));
    BOOST_TEST(decodeError(std::string(maxPeerFrameBytes + 1, 'a')) == make_error_code(PeerCodecError::FrameTooLarge));
    BOOST_TEST(decodeError("") == malformed);
    BOOST_TEST(decodeError(PeerCodec::encode(Ping { 1 }) + "x") == malformed);
    const LeaseRelease release { 1, std::vector<ResourceId>(maxPeerListLength + 1, ResourceId("r")) };
    BOOST_TEST(decodeError(PeerCodec::encode(release)) == make_error_code(PeerCodecError::ListTooLong));
    BOOST_TEST(PeerCodec::encodeChecked(release).error() == make_error_code(PeerCodecError::ListTooLong));
    const ConfigurationValue large { "catalogue", ValueVersion(1), std::string(maxPeerFrameBytes, 'x') };
    BOOST_TEST(PeerCodec::encodeChecked(large).error() == make_error_code(PeerCodecError::FrameTooLarge));
}

// Guards against a frame cut off at any byte being taken for a whole one.
BOOST_AUTO_TEST_CASE(truncatedFramesAreRefused)
{
    for (const PeerMessage &message : samples()) {
        const std::string frame = PeerCodec::encode(message);
        for (std::size_t size = 0; size < std::min<std::size_t>(frame.size(), 400); ++size) {
            BOOST_TEST(decodeError(frame.substr(0, size)) == make_error_code(PeerCodecError::Malformed));
        }
    }
}

// Guards against exceptions, crashes and reads out of bounds: mutated and random frames. Run it with the sanitizers.
BOOST_AUTO_TEST_CASE(mutatedFramesNeverThrow)
{
    constexpr unsigned seed = 20261204;
    constexpr int runs = 40000;
    std::mt19937 random(seed);
    std::vector<std::string> frames;
    for (const PeerMessage &message : samples()) {
        const std::string frame = PeerCodec::encode(message);
        if (frame.size() < 1000) {
            frames.push_back(frame);
        }
    }
    int accepted = 0;
    for (int run = 0; run < runs; ++run) {
        std::string frame = frames[random() % frames.size()];
        for (unsigned change = 0; change <= random() % 4; ++change) {
            const std::size_t place = random() % frame.size();
            if (random() % 3 == 0) {
                frame.insert(place, 1, static_cast<char>(random()));
            } else {
                frame[place] = static_cast<char>(random());
            }
        }
        const auto decoded = PeerCodec::decode(frame);
        if (decoded) {
            ++accepted;
            BOOST_REQUIRE(PeerCodec::decode(PeerCodec::encode(decoded.value())).has_value());
        } else {
            BOOST_REQUIRE(&decoded.error().category() == &peerCodecCategory());
        }
    }
    BOOST_TEST_MESSAGE("accepted " << accepted << " of " << runs << " mutated frames");
}

BOOST_AUTO_TEST_SUITE_END()

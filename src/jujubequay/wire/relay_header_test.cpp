#include <jujubequay/wire/relay_header.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace Jujubequay;

namespace {

FlowKeySet oneKey()
{
    FlowSecret secret;
    secret.fill(3);
    FlowKeySet keys;
    keys.set(4, secret);
    keys.activate(4);
    return keys;
}

RelayHeader sampleHeader()
{
    RelayHeader header;
    header.kind = RelayKind::Initial;
    header.service = ServiceId{9};
    header.incarnation = Incarnation{77};
    header.revision = 1234567890123;
    header.caller = HostAddress{0x7F000001, 50000};
    header.balancer = HostAddress{0x7F000002, 4400};
    header.entry = HostAddress{0x7F000002, 7001};
    header.secondChoice = HostAddress{0x7F000003, 4500};
    header.secondChoiceIncarnation = Incarnation{78};
    header.load = ServerLoad{1, 2, 3};
    return header;
}

std::vector<std::uint8_t> encoded(const FlowKeySet &keys, const RelayHeader &header, const std::vector<std::uint8_t> &payload)
{
    std::vector<std::uint8_t> datagram(relayHeaderLength);
    encodeRelayHeader(keys, header, payload, datagram);
    datagram.insert(datagram.end(), payload.begin(), payload.end());
    return datagram;
}

}

class RelayHeaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayHeaderTest);
    CPPUNIT_TEST(decodesWhatWasEncoded);
    CPPUNIT_TEST(rejectsEveryChangedBit);
    CPPUNIT_TEST(rejectsEveryTruncation);
    CPPUNIT_TEST_SUITE_END();

public:
    void decodesWhatWasEncoded()
    {
        const FlowKeySet keys = oneKey();
        const std::vector<std::uint8_t> payload(1200, 42);
        const auto datagram = encoded(keys, sampleHeader(), payload);
        RelayError error{};
        const auto relay = decodeRelay(keys, datagram, error);
        CPPUNIT_ASSERT(relay);
        CPPUNIT_ASSERT(relay->header == sampleHeader());
        CPPUNIT_ASSERT(std::equal(payload.begin(), payload.end(), relay->payload.begin(), relay->payload.end()));
    }

    // Guards against an attacker who forges relay headers to make an agent send datagrams to arbitrary addresses.
    void rejectsEveryChangedBit()
    {
        const FlowKeySet keys = oneKey();
        const auto datagram = encoded(keys, sampleHeader(), std::vector<std::uint8_t>(100, 1));
        for (std::size_t bit = 0; bit < (relayHeaderLength + relayAuthenticatedPayloadLength) * 8; ++bit) {
            auto changed = datagram;
            changed[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
            RelayError error{};
            CPPUNIT_ASSERT(!decodeRelay(keys, changed, error));
        }
    }

    // Guards against reads past the end of a short datagram.
    void rejectsEveryTruncation()
    {
        const FlowKeySet keys = oneKey();
        const auto datagram = encoded(keys, sampleHeader(), std::vector<std::uint8_t>(10, 1));
        for (std::size_t length = 0; length < datagram.size(); ++length) {
            RelayError error{};
            CPPUNIT_ASSERT(!decodeRelay(keys, std::span(datagram).first(length), error));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayHeaderTest);

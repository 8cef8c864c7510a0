#include <jujubequay/wire/flow_id.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace Jujubequay;

namespace {

FlowSecret secretOf(std::uint8_t seed)
{
    FlowSecret secret;
    secret.fill(seed);
    return secret;
}

FlowKeySet twoKeys()
{
    FlowKeySet keys;
    keys.set(1, secretOf(11));
    keys.set(2, secretOf(22));
    keys.activate(2);
    return keys;
}

constexpr FlowTarget target{ServiceId{7}, HostAddress{0x7F000005, 4501}, Incarnation{0xDEADBEEF}};

}

class FlowIdTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FlowIdTest);
    CPPUNIT_TEST(decodesUnderEveryValidKey);
    CPPUNIT_TEST(rejectsChangedAndForgedBytes);
    CPPUNIT_TEST(differentNoncesGiveUnrelatedIdentifiers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key rotation that breaks established flows.
    void decodesUnderEveryValidKey()
    {
        FlowKeySet keys = twoKeys();
        const FlowIdBytes underOld = encodeFlowId(keys, 1, target, 5);
        const FlowIdBytes underNew = encodeFlowId(keys, 2, target, 5);
        CPPUNIT_ASSERT(decodeFlowId(keys, underOld) == target);
        CPPUNIT_ASSERT(decodeFlowId(keys, underNew) == target);
        keys.remove(1);
        CPPUNIT_ASSERT(!decodeFlowId(keys, underOld));
        CPPUNIT_ASSERT(decodeFlowId(keys, underNew) == target);
    }

    // Guards against an attacker who redirects a flow by changing or guessing its identifier.
    void rejectsChangedAndForgedBytes()
    {
        const FlowKeySet keys = twoKeys();
        const FlowIdBytes bytes = encodeFlowId(keys, 2, target, 5);
        for (std::size_t bit = 0; bit < flowIdLength * 8; ++bit) {
            FlowIdBytes changed = bytes;
            changed[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
            CPPUNIT_ASSERT(!decodeFlowId(keys, changed));
        }
        CPPUNIT_ASSERT(!decodeFlowId(keys, std::span(bytes).first(flowIdLength - 1)));

        std::mt19937_64 random(1);
        for (int guess = 0; guess < 100000; ++guess) {
            FlowIdBytes forged;
            for (std::uint8_t &byte : forged) {
                byte = static_cast<std::uint8_t>(random());
            }
            CPPUNIT_ASSERT(!decodeFlowId(keys, forged));
        }
    }

    // Guards against an observer who can link identifiers that belong to the same flow or server.
    void differentNoncesGiveUnrelatedIdentifiers()
    {
        const FlowKeySet keys = twoKeys();
        const FlowIdBytes first = encodeFlowId(keys, 2, target, 5);
        const FlowIdBytes second = encodeFlowId(keys, 2, target, 6);
        std::size_t equalBytes = 0;
        for (std::size_t index = 1; index < flowIdLength; ++index) {
            equalBytes += first[index] == second[index] ? 1 : 0;
        }
        CPPUNIT_ASSERT(equalBytes <= 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowIdTest);

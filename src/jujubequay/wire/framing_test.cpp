#include <jujubequay/wire/digest.h>
#include <jujubequay/wire/framing.h>

#include <cppunit/extensions/HelperMacros.h>

#include <request.pb.h>

using namespace Jujubequay;

class FramingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FramingTest);
    CPPUNIT_TEST(readsFramesSplitAtEveryByte);
    CPPUNIT_TEST(refusesOversizedFrame);
    CPPUNIT_TEST(incrementalDigestEqualsDigestOfAllBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against frames that are lost or merged when the transport delivers them in pieces.
    void readsFramesSplitAtEveryByte()
    {
        jujubequay::pb::BodyChunk chunk;
        chunk.set_data("reading");
        Bytes stream = encodeFrame(chunk);
        const Bytes second = encodeFrame(chunk);
        stream.insert(stream.end(), second.begin(), second.end());

        FrameReader reader;
        int frames = 0;
        for (const std::uint8_t byte : stream) {
            reader.add(std::span(&byte, 1));
            while (const auto frame = reader.nextFrame()) {
                const auto parsed = parseMessage<jujubequay::pb::BodyChunk>(*frame);
                CPPUNIT_ASSERT(parsed && parsed->data() == "reading");
                ++frames;
            }
        }
        CPPUNIT_ASSERT_EQUAL(2, frames);
    }

    // Guards against a peer that makes the process allocate as much memory as a forged length field states.
    void refusesOversizedFrame()
    {
        FrameReader reader(16);
        reader.add(Bytes{0, 0, 0, 17, 1});
        CPPUNIT_ASSERT(!reader.nextFrame());
        CPPUNIT_ASSERT(reader.isBroken());
    }

    void incrementalDigestEqualsDigestOfAllBytes()
    {
        const Bytes bytes{1, 2, 3, 4};
        Digest digest;
        digest.add(std::span(bytes).first(1));
        digest.add(std::span(bytes).subspan(1));
        CPPUNIT_ASSERT(digest.finish() == digestOf(bytes));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FramingTest);

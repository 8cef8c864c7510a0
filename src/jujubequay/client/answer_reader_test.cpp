#include <jujubequay/client/answer_reader.h>

#include <cppunit/extensions/HelperMacros.h>

#include <request.pb.h>

#include <random>

using namespace Jujubequay;
namespace pb = jujubequay::pb;

namespace {

Bytes encodeAnswer(const Bytes &body, std::uint64_t length, const DigestBytes &digest)
{
    pb::AgentMessage header;
    header.mutable_header()->set_result(0);
    pb::AgentMessage part;
    part.mutable_body()->set_data(body.data(), body.size());
    pb::AgentMessage trailer;
    trailer.mutable_trailer()->set_length(length);
    trailer.mutable_trailer()->set_digest(digest.data(), digest.size());
    Bytes stream;
    for (const pb::AgentMessage *message : {&header, &part, &trailer}) {
        const Bytes frame = encodeFrame(*message);
        stream.insert(stream.end(), frame.begin(), frame.end());
    }
    return stream;
}

}

class AnswerReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerReaderTest);
    CPPUNIT_TEST(anyTruncationIsIncomplete);
    CPPUNIT_TEST(wrongLengthOrDigestIsIncomplete);
    CPPUNIT_TEST(tooLongAnswerIsIncomplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a truncated answer that is accepted as complete.
    void anyTruncationIsIncomplete()
    {
        const Bytes body{1, 2, 3, 4, 5};
        const Bytes stream = encodeAnswer(body, body.size(), digestOf(body));
        for (std::size_t length = 0; length <= stream.size(); ++length) {
            AnswerReader reader(false, 100);
            reader.add(std::span(stream).first(length), true);
            const ResultCode expected = length == stream.size() ? ResultCode::Ok : ResultCode::AnswerIncomplete;
            CPPUNIT_ASSERT(reader.outcome() && reader.outcome()->result == expected);
            CPPUNIT_ASSERT(reader.takeBody() == (expected == ResultCode::Ok ? body : Bytes()));
        }
    }

    void wrongLengthOrDigestIsIncomplete()
    {
        const Bytes body{1, 2, 3};
        for (const Bytes &stream : {encodeAnswer(body, 2, digestOf(body)), encodeAnswer(body, 3, digestOf(Bytes{1, 2, 4}))}) {
            AnswerReader reader(false, 100);
            reader.add(stream, true);
            CPPUNIT_ASSERT(reader.outcome()->result == ResultCode::AnswerIncomplete);
        }
    }

    // Guards against a server whose answer exhausts the memory of the caller.
    void tooLongAnswerIsIncomplete()
    {
        const Bytes body(101);
        AnswerReader reader(false, 100);
        reader.add(encodeAnswer(body, body.size(), digestOf(body)), true);
        CPPUNIT_ASSERT(reader.outcome()->result == ResultCode::AnswerIncomplete);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerReaderTest);

#include <jujubequay/control/message_account.h>

#include <consensus.pb.h>
#include <control.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace Jujubequay;

namespace pb = jujubequay::pb;

class MessageAccountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageAccountTest);
    CPPUNIT_TEST(namesOfKindsAreUnique);
    CPPUNIT_TEST(registryMessagesAreCountedByCause);
    CPPUNIT_TEST(reportsOfAPeerAreCountedApart);
    CPPUNIT_TEST(emptyAppendIsAHeartbeat);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a kind without a name, whose traffic a metric would hide or add to another kind.
    void namesOfKindsAreUnique()
    {
        std::set<std::string_view> names;
        for (std::size_t index = 0; index < messageKindCount; ++index) {
            const std::string_view name = messageKindName(static_cast<MessageKind>(index));
            CPPUNIT_ASSERT(!name.empty());
            names.insert(name);
        }
        CPPUNIT_ASSERT_EQUAL(messageKindCount, names.size());
    }

    // Guards against an account in which a full state passes for a delta.
    void registryMessagesAreCountedByCause()
    {
        pb::WatchDown message;
        message.mutable_registry()->set_sequence(1);
        CPPUNIT_ASSERT(kindOf(message) == MessageKind::Completeness);
        message.mutable_registry()->add_watched()->set_port(1);
        CPPUNIT_ASSERT(kindOf(message) == MessageKind::Delta);
        message.mutable_registry()->set_full(true);
        CPPUNIT_ASSERT(kindOf(message) == MessageKind::FullState);
    }

    // Guards against reports that are counted twice, or as changes of servers.
    void reportsOfAPeerAreCountedApart()
    {
        pb::RegistryDelta delta;
        delta.add_servers()->set_name("10.0.0.1:80");
        delta.add_reports()->set_host("10.0.0.2");
        MessageAccount account;
        account.addSent(delta);
        CPPUNIT_ASSERT_EQUAL(framedBytes(delta), account.sentBytes());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{delta.reports(0).ByteSizeLong()}, account.sent(MessageKind::PeerReports).bytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, account.sent(MessageKind::PeerDelta).messages);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, account.receivedBytes());
    }

    // Guards against an idle log that looks like replicated entries.
    void emptyAppendIsAHeartbeat()
    {
        pb::ReplicaMessage message;
        message.mutable_append_request()->set_commit(1);
        CPPUNIT_ASSERT(kindOf(message) == MessageKind::LogHeartbeat);
        message.mutable_append_request()->add_entries();
        CPPUNIT_ASSERT(kindOf(message) == MessageKind::LogEntries);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MessageAccountTest);

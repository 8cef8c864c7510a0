#include "jujubequay/net/net_test_support.h"

#include <jujubequay/daemon/agent_settings.h>
#include <jujubequay/daemon/backend_settings.h>
#include <jujubequay/daemon/balancer_settings.h>
#include <jujubequay/daemon/call_settings.h>
#include <jujubequay/daemon/control_settings.h>
#include <jujubequay/daemon/operator_settings.h>
#include <jujubequay/daemon/settings_documentation.h>
#include <jujubequay/daemon/steering_settings.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

using namespace Jujubequay;
using namespace Jujubequay::Testing;
using namespace std::chrono_literals;

namespace {

const std::filesystem::path sourceDirectory(JUJUBEQUAY_SOURCE_DIR);

SettingsReader readerOf(std::string_view text)
{
    return valueOf([&] {
        return SettingsReader::parse(text, "test.toml");
    });
}

/// Returns the problems that finish() reports; empty if there are none.
std::string problemsOf(SettingsReader &reader)
{
    return handleFailure(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(reader.finish());
            return std::string();
        },
        [](const Failure &failure) {
            CPPUNIT_ASSERT(failure.code == ResultCode::BadSettings);
            return failure.detail;
        });
}

/// Reads an example settings file and checks that it has no problems.
template<class Read>
auto readExample(const std::string &program, Read read)
{
    auto reader = valueOf([&] {
        return SettingsReader::open(sourceDirectory / "examples" / "settings" / (program + ".toml"));
    });
    auto settings = read(reader);
    CPPUNIT_ASSERT_EQUAL(std::string(), problemsOf(reader));
    return settings;
}

void assertContains(const std::string &text, const std::string &part)
{
    CPPUNIT_ASSERT_MESSAGE(text + " does not contain " + part, text.find(part) != std::string::npos);
}

}

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(readsTypedValuesWithUnits);
    CPPUNIT_TEST(unknownKeyErrorSuggestsNearestKey);
    CPPUNIT_TEST(reportsEveryProblemWithItsLine);
    CPPUNIT_TEST(syntaxErrorNamesFileAndLine);
    CPPUNIT_TEST(missingFileIsBadSettings);
    CPPUNIT_TEST(examplesAreValid);
    CPPUNIT_TEST(conflictingSettingsAreRejected);
    CPPUNIT_TEST(documentationMatchesCode);
    CPPUNIT_TEST(disallowedCharactersAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against undefined behaviour of the TOML parser, which it has for some non-ASCII characters outside comments.
    void disallowedCharactersAreRejected()
    {
        const auto problemOf = [](std::string_view text) {
            std::string problem;
            handleFailure(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(reader, SettingsReader::parse(text, "test.toml"));
                    reader.text("host_name", "");
                    return reader.finish();
                },
                [&problem](const Failure &failure) {
                    problem = failure.detail;
                });
            return problem;
        };
        const std::string disallowed = "test.toml:2: a control character, or a non-ASCII character outside a comment";
        CPPUNIT_ASSERT_EQUAL(disallowed, problemOf("host_name = \"a\"\n\x08"));
        CPPUNIT_ASSERT_EQUAL(disallowed, problemOf("host_name = \"a\"\n\xEF\xBB\xBDm"));
        CPPUNIT_ASSERT_EQUAL(disallowed, problemOf("\nhost_name = \"Z\xC3\xBCrich\""));
        CPPUNIT_ASSERT_EQUAL(std::string(), problemOf("# Z\xC3\xBCrich\nhost_name = \"Z\\u00fcrich \\\" #\" # \xC3\xBC\n"));
    }

    void readsTypedValuesWithUnits()
    {
        auto reader = readerOf("heartbeat_ms = 250\nlease_s = 3\nbuffer_kib = 64\nshare = 2\n[tls]\nkey_file = \"a.key\"\n");
        CPPUNIT_ASSERT(reader.duration("heartbeat_ms", 100ms, {10ms, 10s}, "") == 250ms);
        CPPUNIT_ASSERT(reader.duration("lease_s", 1s, {1s, 10s}, "") == 3s);
        CPPUNIT_ASSERT(reader.duration("absent_ms", 100ms, {10ms, 10s}, "") == 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{65536}, reader.size("buffer_kib", 1024, {1024, 1U << 20U}, ""));
        CPPUNIT_ASSERT_EQUAL(2.0, reader.number("share", 1, {0, 10}, ""));
        CPPUNIT_ASSERT_EQUAL(std::string("a.key"), reader.section("tls").path("key_file", "").string());
        CPPUNIT_ASSERT_EQUAL(std::string(), problemsOf(reader));
    }

    // Guards against a misspelt key that is ignored, so that its setting keeps the default.
    void unknownKeyErrorSuggestsNearestKey()
    {
        auto reader = readerOf("lease_ms = 1\n\nhartbeat_ms = 250\n[tls]\nkey_fil = \"x\"\n[other]\n");
        reader.integer("heartbeat_ms", 100, {10, 1000}, "");
        reader.integer("lease_ms", 1, {1, 1000}, "");
        reader.section("tls").text("key_file", "", "");
        const std::string problems = problemsOf(reader);
        assertContains(problems, "test.toml:3: hartbeat_ms: unknown key, expected a known key; the nearest is \"heartbeat_ms\"");
        assertContains(problems, "test.toml:5: tls.key_fil: unknown key, expected a known key; the nearest is \"tls.key_file\"");
        assertContains(problems, "test.toml:6: other: unknown key");
    }

    void reportsEveryProblemWithItsLine()
    {
        auto reader = readerOf("slots = \"3\"\nqueue = 5000\nratio = nan\naddress = \"127.0.0.1\"\nmode = \"fast\"\npeers = [\"x\"]\n");
        reader.integer("slots", 3, {1, 10}, "");
        reader.integer("queue", 0, {0, 100}, "");
        reader.number("ratio", 1, {0, 1}, "");
        reader.address("address", "");
        reader.choice("mode", NameTable<WorkClass, 1>{{{{WorkClass::Bulk, "bulk"}}}}, WorkClass::Bulk, "");
        reader.addresses("peers", "");
        reader.text("name", "");
        const std::string problems = problemsOf(reader);
        assertContains(problems, "test.toml:1: slots: expected an integer from 1 to 10");
        assertContains(problems, "test.toml:2: queue: expected an integer from 0 to 100");
        assertContains(problems, "test.toml:3: ratio: expected a number");
        assertContains(problems, "test.toml:4: address: expected an address");
        assertContains(problems, "test.toml:5: mode: expected one of bulk");
        assertContains(problems, "test.toml:6: peers: expected a list of addresses");
        assertContains(problems, "name: missing, expected text");
    }

    void syntaxErrorNamesFileAndLine()
    {
        const auto detail = handleFailure(
            []() -> Result<std::string> {
                BOOST_LEAF_CHECK(SettingsReader::parse("a = 1\nb = = 2\n", "test.toml"));
                return std::string("parsed");
            },
            [](const Failure &failure) {
                return failure.detail;
            });
        assertContains(detail, "test.toml:2: ");
    }

    void missingFileIsBadSettings()
    {
        const auto code = codeOf([] {
            return SettingsReader::open("does-not-exist.toml");
        });
        CPPUNIT_ASSERT(code == ResultCode::BadSettings);
    }

    void examplesAreValid()
    {
        const auto control = readExample("jjq-control", readControlSettings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, control.common.controlHosts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.12:7400"), toString(control.common.controlHosts[1].address));
        CPPUNIT_ASSERT(control.common.tls->key == sourceDirectory / "examples/settings/keys/host-control-1.key");
        const auto balancer = readExample("jjq-balancer", readBalancerSettings);
        CPPUNIT_ASSERT_EQUAL(std::string("cert-vault"), balancer.callerAddresses.at(1).service);
        const auto agent = readExample("jjq-agent", readAgentSettings);
        CPPUNIT_ASSERT_EQUAL(std::string("desk-1"), agent.serverName);
        CPPUNIT_ASSERT(readExample("jjq", readOperatorSettings).signerKey.has_value());
        CPPUNIT_ASSERT(readExample("jjq-call", readCallSettings).workClass == WorkClass::Critical);
        CPPUNIT_ASSERT(readExample("jjq-backend", readBackendSettings).coldStart == 20s);
        const auto steeringBalancer = readExample("jjq-platform-balancer", readSteeringBalancerSettings);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.12:7400"), toString(steeringBalancer.discovery.seeds.at(1)));
        CPPUNIT_ASSERT_EQUAL(std::string("inspect-desk"), readExample("jjq-platform-agent", readSteeringAgentSettings).service);
        CPPUNIT_ASSERT(readExample("jjq-platform-control", readRouteControlSettings).isFirstStart);
    }

    // Guards against settings that are valid individually but conflict with each other.
    void conflictingSettingsAreRejected()
    {
        auto reader
            = readerOf("metrics_address = \"192.0.2.1:80\"\n[consensus]\nheartbeat_ms = 900\n[[control_host]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n"
                       "[[control_host]]\nname = \"a\"\naddress = \"127.0.0.1:2\"\n");
        readControlSettings(reader);
        const std::string problems = problemsOf(reader);
        assertContains(problems, "test.toml:1: metrics_address: expected an address in 127.0.0.0/8");
        assertContains(problems, "consensus.election_timeout_ms: expected at least three times heartbeat_ms");
        assertContains(problems, "test.toml:8: control_host[1].name: expected a name that no other control host has");
    }

    // Guards against documented keys, defaults or ranges that differ from those of the programs.
    void documentationMatchesCode()
    {
        std::ifstream file(sourceDirectory / "docs" / "settings.md");
        std::ostringstream page;
        page << file.rdbuf();
        CPPUNIT_ASSERT_MESSAGE("run ./dev settings-page", page.str() == settingsDocumentation());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

#include "jujubequay/net/net_test_support.h"

#include <jujubequay/agent_program/agent_process.h>
#include <jujubequay/datapath/udp_socket.h>
#include <jujubequay/quic/tls_credentials.h>

#include <asio/signal_set.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <fstream>
#include <future>

using namespace Jujubequay;
using namespace Jujubequay::Testing;

class AgentProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentProcessTest);
    CPPUNIT_TEST(failsIfItsRelayAddressIsTaken);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an agent without a relay socket that waits, or ends with success, so that no supervisor notices.
    void failsIfItsRelayAddressIsTaken()
    {
        constexpr std::uint32_t loopback = 0x7F000001;
        const TemporaryDirectory directory;
        const auto certificate = valueOf([] {
            return makeSelfSignedCertificate("feed");
        });
        AgentSettings settings;
        settings.common.location = {"agent-a", "zone-a", "region"};
        settings.common.logLevel = LogLevel::Error;
        settings.common.controlHosts = {{"control-a", {loopback, 1}}};
        settings.service = "feed";
        settings.quicCertificate = directory.path() / "certificate";
        settings.quicKey = directory.path() / "key";
        std::ofstream(settings.quicCertificate) << certificate.certificatePem;
        std::ofstream(settings.quicKey) << certificate.keyPem;

        asio::io_context context;
        const asio::signal_set signals(context, SIGTERM);
        const auto other = valueOf([&] {
            return bindUdpSocket(context, {loopback, 0});
        });
        settings.relayAddress = localAddress(other);
        auto result = std::async(std::launch::async, [&] {
            return codeOf([&] {
                return runAgent(settings);
            });
        });
        if (result.wait_for(std::chrono::seconds(2)) != std::future_status::ready) {
            std::raise(SIGTERM);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("result code", std::string("AddressUnavailable"), std::string(resultName(result.get())));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentProcessTest);

#include "jujubequay/net/net_test_support.h"

#include <jujubequay/agent_program/agent_process.h>
#include <jujubequay/datapath/udp_socket.h>
#include <jujubequay/quic/tls_credentials.h>

#include <asio/signal_set.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <fstream>
#include <future>
#include <thread>

using namespace Jujubequay;
using namespace Jujubequay::Testing;

class AgentProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentProcessTest);
    CPPUNIT_TEST(failsIfItsRelayAddressIsTaken);
    CPPUNIT_TEST(secondSignalDoesNotCutADrainShort);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        const auto certificate = valueOf([] {
            return makeSelfSignedCertificate("feed");
        });
        m_settings.common.location = {"agent-a", "zone-a", "region"};
        m_settings.common.logLevel = LogLevel::Error;
        m_settings.common.controlHosts = {{"control-a", {loopback, 1}}};
        m_settings.service = "feed";
        m_settings.relayAddress = {loopback, 0};
        m_settings.quicCertificate = m_directory.path() / "certificate";
        m_settings.quicKey = m_directory.path() / "key";
        std::ofstream(m_settings.quicCertificate) << certificate.certificatePem;
        std::ofstream(m_settings.quicKey) << certificate.keyPem;
    }

    /// Guards against an agent without a relay socket that waits, or ends with success, so that no supervisor notices.
    void failsIfItsRelayAddressIsTaken()
    {
        const auto other = valueOf([&] {
            return bindUdpSocket(m_context, {loopback, 0});
        });
        m_settings.relayAddress = localAddress(other);
        auto result = startAgent();
        if (result.wait_for(std::chrono::seconds(2)) != std::future_status::ready) {
            std::raise(SIGTERM);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("result code", std::string("AddressUnavailable"), std::string(resultName(result.get())));
    }

    /// Guards against a supervisor that signals twice and so ends an agent before lost packets were sent again. No control host is reachable.
    void secondSignalDoesNotCutADrainShort()
    {
        auto result = startAgent();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        std::raise(SIGTERM);
        CPPUNIT_ASSERT(result.wait_for(std::chrono::milliseconds(100)) == std::future_status::timeout);
        std::raise(SIGTERM);
        CPPUNIT_ASSERT(result.wait_for(std::chrono::milliseconds(700)) == std::future_status::timeout);
        CPPUNIT_ASSERT(result.wait_for(std::chrono::seconds(2)) == std::future_status::ready);
        CPPUNIT_ASSERT_EQUAL(std::string(resultName(ResultCode::Ok)), std::string(resultName(result.get())));
    }

private:
    static constexpr std::uint32_t loopback = 0x7F000001;

    std::future<ResultCode> startAgent()
    {
        return std::async(std::launch::async, [this] {
            return codeOf([this] {
                return runAgent(m_settings);
            });
        });
    }

    const TemporaryDirectory m_directory;
    AgentSettings m_settings;
    asio::io_context m_context;
    const asio::signal_set m_signals{m_context, SIGTERM}; ///< SIGTERM does not end the test program
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentProcessTest);

#include <jujubequay/service/announce_client.h>

namespace Jujubequay {

namespace {

namespace pb = jujubequay::pb;

constexpr auto tickInterval = std::chrono::milliseconds(100);

}

AnnounceClient::AnnounceClient(asio::io_context &context, const Clock &clock, Logger &logger, MessageClient &client, Announcer announcer)
    : m_clock(clock)
    , m_logger(logger)
    , m_client(client)
    , m_announcer(std::move(announcer))
    , m_timer(context)
{
}

void AnnounceClient::start()
{
    apply(m_announcer.tick(m_clock.now()));
    scheduleTick();
}

void AnnounceClient::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    if (m_stream) {
        m_stream->close();
    }
}

void AnnounceClient::setState(pb::ServerState state)
{
    if (m_announcer.state() != state) {
        m_logger.info("server-state", {{"state", pb::ServerState_Name(state)}});
    }
    apply(m_announcer.setState(m_clock.now(), state));
}

void AnnounceClient::setServer(pb::ServerEntry server)
{
    m_logger.info("server-announced", {{"service", server.service()}, {"incarnation", server.incarnation()}, {"state", pb::ServerState_Name(server.state())}});
    apply(m_announcer.setServer(m_clock.now(), std::move(server)));
}

void AnnounceClient::handleReachableControlHost(const HostAddress &address)
{
    apply(m_announcer.handleReachableControlHost(m_clock.now(), address));
}

void AnnounceClient::preferControlHost(const HostAddress &address)
{
    apply(m_announcer.preferControlHost(m_clock.now(), address));
}

void AnnounceClient::setControlHosts(std::vector<HostAddress> addresses)
{
    m_announcer.setControlHosts(std::move(addresses));
}

const Announcer &AnnounceClient::announcer() const
{
    return m_announcer;
}

void AnnounceClient::scheduleTick()
{
    const TimePoint regularTick = m_clock.now() + tickInterval;
    m_timer.expires_at(std::min(regularTick, m_announcer.nextAttempt().value_or(regularTick)));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || self->m_isStopped) {
            return;
        }
        self->apply(self->m_announcer.tick(self->m_clock.now()));
        self->scheduleTick();
    });
}

void AnnounceClient::apply(const AnnouncerEffects &effects)
{
    struct Visitor {
        AnnounceClient &client;

        void operator()(const OpenAnnounceStream &effect) const
        {
            client.openStream(effect);
        }
        void operator()(const SendAnnouncement &effect) const
        {
            if (client.m_stream) {
                client.m_stream->send(effect.message);
            }
        }
        void operator()(const CloseAnnounceStream &) const
        {
            if (client.m_stream) {
                std::exchange(client.m_stream, nullptr)->close();
            }
        }
    };
    for (const AnnouncerEffect &effect : effects) {
        std::visit(Visitor{*this}, effect);
    }
}

void AnnounceClient::openStream(const OpenAnnounceStream &effect)
{
    MessageStreamHandlers handlers;
    handlers.message = [weak = weak_from_this(), number = effect.stream](const Bytes &bytes) {
        const auto self = weak.lock();
        pb::AnnounceDown message;
        if (!self || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            return;
        }
        const auto result = static_cast<ResultCode>(message.result());
        if (result != ResultCode::Ok) {
            self->m_logger.warning("announcement-refused", {{"result", resultName(result)}});
        }
        self->apply(self->m_announcer.receive(self->m_clock.now(), number, message));
    };
    handlers.closed = [weak = weak_from_this(), number = effect.stream](ResultCode cause) {
        const auto self = weak.lock();
        if (!self || self->m_isStopped) {
            return;
        }
        self->m_logger.warning("announce-stream-ended", {{"cause", resultName(cause)}});
        if (self->m_streamNumber == number) {
            self->m_stream.reset();
        }
        self->apply(self->m_announcer.streamClosed(self->m_clock.now(), number));
    };
    m_streamNumber = effect.stream;
    m_stream = m_client.open(effect.address, "/announce", std::move(handlers));
}

}

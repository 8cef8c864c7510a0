#include <jujubequay/control/peer_links.h>

#include <algorithm>
#include <utility>

namespace Jujubequay {

namespace {

constexpr Duration retryBase = std::chrono::milliseconds(50);
constexpr Duration retryLimit = std::chrono::milliseconds(400);
constexpr std::uint32_t maxDoublings = 8;
// A stream that was open for this long was accepted by the peer, so the retry delay starts again from the base.
constexpr Duration stableAfter = std::chrono::seconds(5);
constexpr std::size_t queueLimit = 4U << 20U; // bytes

}

PeerLinks::PeerLinks(MessageClient &client, std::mt19937_64 &random, std::string path, Handlers handlers)
    : m_client(client)
    , m_random(random)
    , m_path(std::move(path))
    , m_handlers(std::move(handlers))
    , m_self(std::make_shared<PeerLinks *>(this))
{
}

void PeerLinks::setPeers(const std::map<std::string, HostAddress> &peers)
{
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        const auto peer = peers.find(entry->first);
        if (peer != peers.end() && peer->second == entry->second.address) {
            ++entry;
            continue;
        }
        const auto stream = entry->second.stream;
        entry = m_links.erase(entry);
        if (stream) {
            stream->close();
        }
    }
    for (const auto &[host, address] : peers) {
        m_links[host].address = address;
    }
}

void PeerLinks::tick(TimePoint now)
{
    m_now = now;
    for (auto &[host, link] : m_links) {
        if (!link.stream && now >= link.nextAttempt) {
            open(now, host, link);
        }
    }
}

void PeerLinks::open(TimePoint now, const std::string &host, Link &link)
{
    link.streamNumber = ++m_lastStreamNumber;
    link.openedAt = now;
    const std::weak_ptr<PeerLinks *> self = m_self;
    MessageStreamHandlers handlers;
    handlers.message = [self, host](const Bytes &message) {
        if (const auto links = self.lock()) {
            (*links)->m_handlers.message(host, message);
        }
    };
    handlers.closed = [self, host, streamNumber = link.streamNumber](ResultCode) {
        if (const auto links = self.lock()) {
            (*links)->streamEnded(host, streamNumber);
        }
    };
    link.stream = m_client.open(link.address, m_path, std::move(handlers));
    m_handlers.streamOpened(host);
}

void PeerLinks::streamEnded(const std::string &host, std::uint64_t streamNumber)
{
    const auto found = m_links.find(host);
    if (found == m_links.end() || found->second.streamNumber != streamNumber) {
        return;
    }
    Link &link = found->second;
    link.stream.reset();
    link.failures = m_now - link.openedAt > stableAfter ? 0 : link.failures + 1;
    const Duration maxDelay = std::min(retryLimit, retryBase * (1U << std::min(link.failures, maxDoublings)));
    link.nextAttempt = m_now + Duration(std::uniform_int_distribution<Duration::rep>(0, maxDelay.count())(m_random));
}

void PeerLinks::hostConnected(const std::string &host)
{
    const auto found = m_links.find(host);
    if (found == m_links.end() || (found->second.stream && found->second.stream->isEstablished())) {
        return;
    }
    Link &link = found->second;
    // With a new stream number, the end of the former stream does not delay the next attempt.
    link.streamNumber = ++m_lastStreamNumber;
    link.nextAttempt = m_now;
    if (const auto former = std::exchange(link.stream, nullptr)) {
        former->close();
    }
}

bool PeerLinks::isEstablished(const std::string &host) const
{
    const auto found = m_links.find(host);
    return found != m_links.end() && found->second.stream && found->second.stream->isEstablished();
}

bool PeerLinks::send(const std::string &host, const google::protobuf::MessageLite &message)
{
    const auto found = m_links.find(host);
    if (found == m_links.end() || !found->second.stream || found->second.stream->queuedBytes() > queueLimit) {
        return false;
    }
    found->second.stream->send(message);
    return true;
}

}

#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/net/message_stream.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Jujubequay {

/// In-memory streams between processes, delivered when `deliver` is called. For tests.
class FakeNetwork
{
public:
    /// Accepts streams at an address; replaces an earlier process there.
    void listen(const HostAddress &address, const std::string &name, MessageStreamAcceptor acceptor)
    {
        m_listeners[toString(address)] = {name, std::move(acceptor)};
    }

    /// Ends all streams of a process; it accepts no more.
    void stop(const std::string &name)
    {
        std::erase_if(m_listeners, [&name](const auto &entry) {
            return entry.second.name == name;
        });
        breakStreams([&name](const std::string &from, const std::string &to) {
            return from == name || to == name;
        });
    }

    /// Ends streams between the two groups and refuses new ones until the next call. No groups: everything is joined.
    void partition(std::set<std::string> cutOff)
    {
        m_cutOff = std::move(cutOff);
        breakStreams([this](const std::string &from, const std::string &to) {
            return isCut(from, to);
        });
    }

    void deliver()
    {
        while (!m_events.empty()) {
            const auto event = std::move(m_events.front());
            m_events.pop_front();
            event();
        }
    }

    std::unique_ptr<MessageClient> client(const PeerIdentity &identity)
    {
        return std::make_unique<Client>(*this, identity);
    }

private:
    struct Listener {
        std::string name;
        MessageStreamAcceptor acceptor;
    };

    class Stream final : public MessageStream
    {
    public:
        Stream(FakeNetwork &network, PeerIdentity peer)
            : m_network(network)
            , m_peer(std::move(peer))
        {
        }

        void send(const google::protobuf::MessageLite &message) override
        {
            const std::string text = message.SerializeAsString();
            const auto other = m_other.lock();
            if (!isEnded && other) {
                m_network.m_events.push_back([other, bytes = Bytes(text.begin(), text.end())] {
                    if (!other->isEnded && other->handlers.message) {
                        other->handlers.message(bytes);
                    }
                });
            }
        }

        void close() override
        {
            m_network.end(shared.lock(), ResultCode::Ok);
        }

        std::size_t queuedBytes() const override
        {
            return 0;
        }

        PeerIdentity peer() const override
        {
            return m_peer;
        }

        void join(const std::shared_ptr<Stream> &other)
        {
            m_other = other;
        }

        std::shared_ptr<Stream> other() const
        {
            return m_other.lock();
        }

        MessageStreamHandlers handlers;
        std::weak_ptr<Stream> shared;
        bool isEnded = false;

    private:
        FakeNetwork &m_network;
        PeerIdentity m_peer;
        std::weak_ptr<Stream> m_other;
    };

    class Client final : public MessageClient
    {
    public:
        Client(FakeNetwork &network, PeerIdentity identity)
            : m_network(network)
            , m_identity(std::move(identity))
        {
        }

        std::shared_ptr<MessageStream> open(const HostAddress &address, const std::string &path, MessageStreamHandlers handlers) override
        {
            return m_network.open(m_identity, address, path, std::move(handlers));
        }

    private:
        FakeNetwork &m_network;
        PeerIdentity m_identity;
    };

    std::shared_ptr<MessageStream> open(const PeerIdentity &from, const HostAddress &address, const std::string &path, MessageStreamHandlers handlers)
    {
        const auto listener = m_listeners.find(toString(address));
        const std::string name = listener == m_listeners.end() ? std::string() : listener->second.name;
        auto near = std::make_shared<Stream>(*this, PeerIdentity{name, "control"});
        near->shared = near;
        near->handlers = std::move(handlers);
        if (name.empty() || isCut(from.name, name)) {
            end(near, ResultCode::ConnectionLost);
            return near;
        }
        auto far = std::make_shared<Stream>(*this, from);
        far->shared = far;
        near->join(far);
        far->join(near);
        far->handlers = listener->second.acceptor(path, far);
        m_streams.push_back({from.name, name, near, far});
        if (!far->handlers.message) {
            end(near, ResultCode::NotAuthorized);
        }
        return near;
    }

    void end(const std::shared_ptr<Stream> &stream, ResultCode code)
    {
        for (const auto &side : {stream, stream->other()}) {
            if (side && !side->isEnded) {
                m_events.push_back([side, code] {
                    if (!side->isEnded && side->handlers.closed) {
                        side->isEnded = true;
                        side->handlers.closed(code);
                    }
                    side->isEnded = true;
                });
            }
        }
    }

    bool isCut(const std::string &from, const std::string &to) const
    {
        return m_cutOff.contains(from) != m_cutOff.contains(to);
    }

    template<class Predicate>
    void breakStreams(Predicate predicate)
    {
        for (const Joined &joined : m_streams) {
            if (predicate(joined.from, joined.to)) {
                end(joined.near, ResultCode::ConnectionLost);
            }
        }
        std::erase_if(m_streams, [&predicate](const Joined &joined) {
            return predicate(joined.from, joined.to);
        });
    }

    struct Joined {
        std::string from;
        std::string to;
        std::shared_ptr<Stream> near;
        std::shared_ptr<Stream> far;
    };

    std::map<std::string, Listener> m_listeners; // by address
    std::vector<Joined> m_streams;
    std::set<std::string> m_cutOff;
    std::deque<std::function<void()>> m_events;
};

}

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

/// In-memory network for tests. Messages are delivered when `deliver` is called.
class FakeNetwork
{
public:
    /// Accepts streams at an address for the process `name`; replaces an earlier process at that address.
    void listen(const HostAddress &address, const std::string &name, MessageStreamAcceptor acceptor)
    {
        m_listeners[toString(address)] = {name, std::move(acceptor)};
    }

    /// Closes all streams of a process and stops accepting new ones for it.
    void stop(const std::string &name)
    {
        std::erase_if(m_listeners, [&name](const auto &entry) {
            return entry.second.name == name;
        });
        breakStreams([&name](const std::string &from, const std::string &to) {
            return from == name || to == name;
        });
    }

    /// Partitions `partitionedHosts` from all other processes until the next call: closes the streams between both groups and refuses new
    /// ones. An empty set ends the partition.
    void partition(std::set<std::string> partitionedHosts)
    {
        m_partitionedHosts = std::move(partitionedHosts);
        breakStreams([this](const std::string &from, const std::string &to) {
            return isPartitioned(from, to);
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
            m_network.end(self.lock(), ResultCode::Ok);
        }

        std::size_t queuedBytes() const override
        {
            return 0;
        }

        PeerIdentity peer() const override
        {
            return m_peer;
        }

        void connectTo(const std::shared_ptr<Stream> &other)
        {
            m_other = other;
        }

        std::shared_ptr<Stream> other() const
        {
            return m_other.lock();
        }

        MessageStreamHandlers handlers;
        std::weak_ptr<Stream> self;
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
        auto clientEnd = std::make_shared<Stream>(*this, PeerIdentity{name, "control"});
        clientEnd->self = clientEnd;
        clientEnd->handlers = std::move(handlers);
        if (name.empty() || isPartitioned(from.name, name)) {
            end(clientEnd, ResultCode::ConnectionLost);
            return clientEnd;
        }
        auto serverEnd = std::make_shared<Stream>(*this, from);
        serverEnd->self = serverEnd;
        clientEnd->connectTo(serverEnd);
        serverEnd->connectTo(clientEnd);
        serverEnd->handlers = listener->second.acceptor(path, serverEnd);
        m_connections.push_back({from.name, name, clientEnd, serverEnd});
        if (!serverEnd->handlers.message) {
            end(clientEnd, ResultCode::NotAuthorized);
        }
        return clientEnd;
    }

    void end(const std::shared_ptr<Stream> &stream, ResultCode code)
    {
        for (const auto &streamEnd : {stream, stream->other()}) {
            if (streamEnd && !streamEnd->isEnded) {
                m_events.push_back([streamEnd, code] {
                    if (!streamEnd->isEnded && streamEnd->handlers.closed) {
                        streamEnd->isEnded = true;
                        streamEnd->handlers.closed(code);
                    }
                    streamEnd->isEnded = true;
                });
            }
        }
    }

    bool isPartitioned(const std::string &from, const std::string &to) const
    {
        return m_partitionedHosts.contains(from) != m_partitionedHosts.contains(to);
    }

    template<class Predicate>
    void breakStreams(Predicate predicate)
    {
        for (const Connection &connection : m_connections) {
            if (predicate(connection.from, connection.to)) {
                end(connection.clientEnd, ResultCode::ConnectionLost);
            }
        }
        std::erase_if(m_connections, [&predicate](const Connection &connection) {
            return predicate(connection.from, connection.to);
        });
    }

    struct Connection {
        std::string from;
        std::string to;
        std::shared_ptr<Stream> clientEnd;
        std::shared_ptr<Stream> serverEnd;
    };

    std::map<std::string, Listener> m_listeners; // listeners by address
    std::vector<Connection> m_connections;
    std::set<std::string> m_partitionedHosts;
    std::deque<std::function<void()>> m_events;
};

}

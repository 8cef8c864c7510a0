#pragma once

#include <jujubequay/agent/backend_port.h>
#include <jujubequay/net/backend_client.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Jujubequay {

/// Splits the answer of a feed into whole records. Each record is a line that starts with its position as a decimal
/// number, so that a feed can be moved between two records.
class FeedRecords
{
public:
    struct Part {
        Bytes data; ///< whole lines; empty if none is complete
        std::uint64_t position = 0; ///< of the last line in `data`
    };

    /// Records follow `resumePosition`.
    explicit FeedRecords(std::uint64_t resumePosition = 0);

    /// Fails with ProtocolError if a line has no position or the positions do not rise.
    Result<Part> add(std::span<const std::uint8_t> bytes);

private:
    Bytes m_rest;
    std::uint64_t m_position;
};

/// Runs the broker's calls on the HTTP/2 connection to the backend server.
class BackendAdapter final : public BackendPort
{
public:
    using EventHandler = std::function<void(const BackendEvent &)>;

    explicit BackendAdapter(std::shared_ptr<BackendClient> client);

    /// Events are passed on from the io_context, never from within a call.
    void setEventHandler(EventHandler handler);

    void start(BackendRequest request) override;
    void cancel(std::uint64_t call) override;
    void consume(std::uint64_t call, std::size_t bytes) override;

private:
    struct Call;

    void handleData(const std::shared_ptr<Call> &call, std::span<const std::uint8_t> data);
    void handleClosed(const std::shared_ptr<Call> &call, const BackendEnd &end);

    std::shared_ptr<BackendClient> m_client;
    EventHandler m_handler;
    std::map<std::uint64_t, std::shared_ptr<Call>> m_calls;
};

}

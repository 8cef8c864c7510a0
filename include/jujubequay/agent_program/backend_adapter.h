#pragma once

#include <jujubequay/agent/backend_port.h>
#include <jujubequay/net/backend_client.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Jujubequay {

/// Splits the answer of a feed into complete records, so that a feed can be moved to another server between two records.
/// Each record is a line that starts with its position as a decimal number.
class FeedRecordSplitter
{
public:
    /// Complete records that can be sent to the caller.
    struct Part {
        Bytes data; ///< complete lines; empty if no line is complete
        std::uint64_t position = 0; ///< position of the last complete record
    };

    /// The first record must have a position above `resumePosition`.
    explicit FeedRecordSplitter(std::uint64_t resumePosition = 0);

    /// Adds received bytes and returns the records that they complete. Fails with ProtocolError if a record has no position,
    /// its position is not above the one of the previous record, or it is too long.
    Result<Part> add(std::span<const std::uint8_t> bytes);

private:
    Bytes m_buffer; ///< bytes of the record that is not complete yet
    std::uint64_t m_lastPosition; ///< position of the last complete record, or the resume position
};

/// Executes the calls of the request broker on the HTTP/2 connection to the backend server.
class BackendAdapter final : public BackendPort
{
public:
    using EventHandler = std::function<void(const BackendEvent &)>;

    explicit BackendAdapter(std::shared_ptr<BackendClient> client);

    /// Sets the receiver of events. It is called from the io_context, never from within a member function of the adapter.
    void setEventHandler(EventHandler handler);

    void start(BackendRequest request) override;
    void cancel(std::uint64_t call) override;
    void consume(std::uint64_t call, std::size_t bytes) override;

private:
    struct Call;

    void handleData(const std::shared_ptr<Call> &call, std::span<const std::uint8_t> data);
    void handleClosed(const std::shared_ptr<Call> &call, const BackendCallEnd &end);

    std::shared_ptr<BackendClient> m_client;
    EventHandler m_handler;
    std::map<std::uint64_t, std::shared_ptr<Call>> m_calls;
};

}

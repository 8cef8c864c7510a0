#include <jujubequay/agent_program/backend_adapter.h>

#include <algorithm>
#include <charconv>

namespace Jujubequay {

namespace {

/// Maximum length of an incomplete feed record, in bytes.
constexpr std::size_t maxRecordLength = 64U << 10U;

HttpHeaders headersOf(const BackendRequest &request)
{
    HttpHeaders headers{
        {"jjq-request-id", toString(request.id)},
        {"jjq-customer", request.customer},
        {"jjq-class", std::string(workClassName(request.workClass))},
    };
    if (request.timeLeft) {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(*request.timeLeft);
        headers.push_back({"jjq-deadline-ms", std::to_string(milliseconds.count())});
    }
    if (request.workClass == WorkClass::Feed) {
        headers.push_back({"jjq-position", std::to_string(request.resumePosition)});
    }
    return headers;
}

}

FeedRecordSplitter::FeedRecordSplitter(std::uint64_t resumePosition)
    : m_lastPosition(resumePosition)
{
}

Result<FeedRecordSplitter::Part> FeedRecordSplitter::add(std::span<const std::uint8_t> bytes)
{
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
    Part part;
    auto start = m_buffer.begin();
    for (auto end = std::find(start, m_buffer.end(), '\n'); end != m_buffer.end(); end = std::find(start, m_buffer.end(), '\n')) {
        const char *first = reinterpret_cast<const char *>(m_buffer.data()) + (start - m_buffer.begin());
        const char *last = reinterpret_cast<const char *>(m_buffer.data()) + (end - m_buffer.begin());
        std::uint64_t position = 0;
        const bool hasPosition = std::from_chars(first, last, position).ec == std::errc();
        if (!hasPosition || position <= m_lastPosition) {
            return fail(ResultCode::ProtocolError, "a feed record has no position or one that is not above the position of the previous record");
        }
        m_lastPosition = position;
        start = std::next(end);
    }
    part.data.assign(m_buffer.begin(), start);
    part.position = m_lastPosition;
    m_buffer.erase(m_buffer.begin(), start);
    if (m_buffer.size() > maxRecordLength) {
        return fail(ResultCode::ProtocolError, "a feed record exceeds the maximum length");
    }
    return part;
}

struct BackendAdapter::Call {
    std::uint64_t number = 0;
    std::shared_ptr<BackendCall> call;
    std::optional<FeedRecordSplitter> feed; ///< set for feeds only
    int status = 0;
    std::string error; ///< reason for which the adapter cancelled the call; empty if it did not
};

BackendAdapter::BackendAdapter(std::shared_ptr<BackendClient> client)
    : m_client(std::move(client))
{
}

void BackendAdapter::setEventHandler(EventHandler handler)
{
    m_handler = std::move(handler);
}

void BackendAdapter::start(BackendRequest request)
{
    const auto call = std::make_shared<Call>();
    call->number = request.call;
    if (request.workClass == WorkClass::Feed) {
        call->feed.emplace(request.resumePosition);
    }
    BackendCallHandlers handlers;
    handlers.headers = [this, call](int status, const HttpHeaders &) {
        call->status = status;
        m_handler(BackendResponseStarted{call->number, static_cast<unsigned>(status)});
    };
    handlers.data = [this, call](std::span<const std::uint8_t> data) {
        handleData(call, data);
    };
    handlers.closed = [this, call](const BackendCallEnd &end) {
        handleClosed(call, end);
    };
    m_calls.emplace(call->number, call);
    call->call = m_client->start("POST", request.path, headersOf(request), std::move(handlers));
    if (!request.body.empty() && !call->call->send(request.body)) {
        call->error = "request body exceeds the free space of the send queue";
        call->call->cancel();
        return;
    }
    call->call->end();
}

void BackendAdapter::cancel(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found != m_calls.end()) {
        found->second->call->cancel();
    }
}

void BackendAdapter::consume(std::uint64_t call, std::size_t bytes)
{
    const auto found = m_calls.find(call);
    if (found != m_calls.end()) {
        found->second->call->consume(bytes);
    }
}

void BackendAdapter::handleData(const std::shared_ptr<Call> &call, std::span<const std::uint8_t> data)
{
    if (!call->feed) {
        m_handler(BackendData{call->number, Bytes(data.begin(), data.end()), 0});
        return;
    }
    auto part = call->feed->add(data);
    if (!part) {
        call->error = "malformed feed";
        call->call->cancel();
        return;
    }
    if (!part->data.empty()) {
        m_handler(BackendData{call->number, std::move(part->data), part->position});
    }
}

void BackendAdapter::handleClosed(const std::shared_ptr<Call> &call, const BackendCallEnd &end)
{
    m_calls.erase(call->number);
    if (end.outcome == BackendOutcome::Completed) {
        m_handler(BackendEnded{call->number});
        return;
    }
    const std::string detail = call->error.empty() ? std::string(resultName(end.cause)) : call->error;
    m_handler(BackendFailed{call->number, end.outcome == BackendOutcome::NotStarted, detail});
}

}

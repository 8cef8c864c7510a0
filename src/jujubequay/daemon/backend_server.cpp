#include "jujubequay/net/endpoint.h"
#include "jujubequay/net/socket_transport.h"

#include <jujubequay/daemon/backend_server.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace Jujubequay {

namespace {

/// Longest request body.
constexpr std::size_t maxBodyBytes = 16U << 20U;
constexpr std::size_t sendChunkBytes = 16U << 10U;

constexpr Http2Options sessionOptions{.maxStreams = 4096, .maxResetBurst = 100'000, .maxResetsPerSecond = 100'000};

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

/// Returns the number in "name=number" after the '?' of a path, or the default.
std::uint64_t queryNumber(std::string_view path, std::string_view name, std::uint64_t defaultValue)
{
    const std::size_t start = path.find('?');
    const std::string_view query = start == std::string_view::npos ? std::string_view() : path.substr(start + 1);
    if (!query.starts_with(name) || query.size() <= name.size() || query[name.size()] != '=') {
        return defaultValue;
    }
    return parseNumber(query.substr(name.size() + 1)).value_or(defaultValue);
}

std::span<const std::uint8_t> bytesOf(std::string_view text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

}

/// A request that holds a slot or waits for one.
struct BackendServer::Work {
    explicit Work(asio::io_context &context)
        : timer(context)
        , deadlineTimer(context)
    {
    }

    WorkQueue::WorkId id = 0;
    std::string path;
    std::string requestId;
    std::shared_ptr<Http2Stream> stream;
    std::vector<std::uint8_t> body;
    std::uint64_t downloadBytes = 0; ///< length of the answer to /download
    std::uint64_t sentBytes = 0;
    std::optional<TimePoint> deadline;
    asio::steady_timer timer;
    asio::steady_timer deadlineTimer;
    bool isRunning = false;
    bool hasBody = false; ///< the whole request has arrived
    bool isWorkTimeOver = false; ///< the work time has passed
    bool isAnswering = false;
};

/// An open feed stream.
struct BackendServer::Feed {
    explicit Feed(asio::io_context &context)
        : timer(context)
    {
    }

    std::shared_ptr<Http2Stream> stream;
    std::uint64_t position = 0; ///< position of the last line that was sent
    asio::steady_timer timer;
};

Result<std::shared_ptr<BackendServer>> BackendServer::listen(asio::io_context &context, const Clock &clock, Logger &logger, const BackendSettings &settings)
{
    std::shared_ptr<BackendServer> server(new BackendServer(context, clock, logger, settings));
    if (const auto error = listenOn(server->m_acceptor, settings.address)) {
        return fail(ResultCode::AddressUnavailable, fmt::format("{}: {}", toString(settings.address), error.message()));
    }
    server->acceptNext();
    return server;
}

BackendServer::BackendServer(asio::io_context &context, const Clock &clock, Logger &logger, const BackendSettings &settings)
    : m_context(context)
    , m_clock(clock)
    , m_logger(logger)
    , m_settings(settings)
    , m_acceptor(context)
    , m_random(settings.seed)
    , m_workTimes(settings, clock.now(), m_random)
    , m_queue(settings.slots, settings.queue)
    , m_loadReporter(settings.reportMode, settings.reportLag)
{
}

BackendServer::~BackendServer()
{
    stop();
}

HostAddress BackendServer::address() const
{
    return hostAddress(m_acceptor.local_endpoint());
}

void BackendServer::drain()
{
    if (m_isDraining) {
        return;
    }
    m_isDraining = true;
    updateReport();
    m_logger.info("drain-started", {{"running", m_queue.running()}, {"waiting", m_queue.waiting()}, {"feeds", m_openFeeds}});
    const auto sessions = m_sessions;
    for (const auto &session : sessions) {
        session->drain();
    }
}

bool BackendServer::isDrained() const
{
    return m_isDraining && m_acceptedWork.empty() && m_openFeeds == 0 && m_sessions.empty();
}

std::uint32_t BackendServer::executions(const std::string &requestId) const
{
    const auto found = m_executions.find(requestId);
    return found == m_executions.end() ? 0 : found->second;
}

void BackendServer::stop()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &session : m_sessions) {
        session->abort(ResultCode::ConnectionLost);
    }
}

void BackendServer::acceptNext()
{
    m_acceptor.async_accept([weak = weak_from_this()](const asio::error_code &error, asio::ip::tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !self->m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            self->startSession(std::move(socket));
        }
        self->acceptNext();
    });
}

void BackendServer::startSession(asio::ip::tcp::socket socket)
{
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto sessionReference = std::make_shared<std::weak_ptr<Http2Session>>();
    Http2SessionHandlers handlers;
    handlers.accept = [weak = weak_from_this()](const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream) {
        const auto self = weak.lock();
        return self ? self->acceptRequest(request, stream) : Http2StreamHandlers{};
    };
    handlers.closed = [weak = weak_from_this(), sessionReference](ResultCode) {
        if (const auto self = weak.lock()) {
            self->m_sessions.erase(sessionReference->lock());
        }
    };
    const auto session = Http2Session::create(m_context, m_clock, Http2Session::Role::Server, sessionOptions, std::move(handlers));
    *sessionReference = session;
    m_sessions.insert(session);
    session->start(std::make_unique<SocketTransport<asio::ip::tcp::socket>>(std::make_shared<asio::ip::tcp::socket>(std::move(socket))));
    if (m_isDraining) {
        // A new connection during the drain can still read health and load, and is closed after its requests.
        session->drain();
    }
}

Http2StreamHandlers BackendServer::acceptRequest(const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream)
{
    const std::string target(headerValue(request, ":path"));
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/work" || path == "/echo" || path == "/download") {
        return acceptWork(target, request, stream);
    }
    if (path == "/feed") {
        return acceptFeed(request, stream);
    }
    if (path == "/health") {
        const bool isDraining = m_loadReporter.report(m_clock.now()).isDraining;
        return respond(stream, isDraining ? "503" : "200", isDraining ? "draining" : "ok");
    }
    if (path == "/load") {
        return respond(stream, "200", loadText());
    }
    if (path == "/executions") {
        return respond(stream, "200", executionsText(static_cast<std::uint32_t>(queryNumber(target, "min", 1))));
    }
    if (path == "/drain") {
        drain();
        return respond(stream, "200", "draining");
    }
    return respond(stream, "404", "");
}

Http2StreamHandlers BackendServer::acceptWork(const std::string &path, const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream)
{
    auto work = std::make_shared<Work>(m_context);
    work->path = path;
    work->requestId = headerValue(request, "jjq-request-id");
    work->downloadBytes = queryNumber(path, "bytes", 0);
    work->stream = stream;
    const auto deadline = parseNumber(headerValue(request, "jjq-deadline-ms"));
    const bool isTracked = work->requestId.empty() || m_executions.size() < m_settings.maxTrackedRequests || m_executions.contains(work->requestId);
    if (m_isDraining || !isTracked || deadline == std::uint64_t{0}) {
        return {};
    }
    work->id = m_nextWork++;
    const auto admission = m_queue.add(work->id);
    if (admission == WorkQueue::Admission::Refuse) {
        return {};
    }
    if (deadline) {
        constexpr std::uint64_t maxDeadline = 86'400'000; // one day
        work->deadline = m_clock.now() + std::chrono::milliseconds(std::min(*deadline, maxDeadline));
    }
    m_acceptedWork.emplace(work->id, work);
    armDeadline(work);
    if (admission == WorkQueue::Admission::Run) {
        startWork(work);
    }
    updateReport();

    Http2StreamHandlers handlers;
    handlers.data = [work](std::span<const std::uint8_t> data) {
        work->stream->consume(data.size());
        if (work->body.size() + data.size() > maxBodyBytes) {
            work->stream->reset(Http2Error::EnhanceYourCalm);
            return;
        }
        work->body.insert(work->body.end(), data.begin(), data.end());
    };
    handlers.end = [weak = weak_from_this(), work](const HttpHeaders &) {
        work->hasBody = true;
        if (const auto self = weak.lock()) {
            self->finishWork(work);
        }
    };
    handlers.writable = [weak = weak_from_this(), work] {
        if (const auto self = weak.lock()) {
            self->sendBody(work);
        }
    };
    handlers.closed = [weak = weak_from_this(), work](const Http2StreamEnd &) {
        if (const auto self = weak.lock()) {
            self->removeWork(work);
        }
    };
    return handlers;
}

void BackendServer::startWork(const WorkPointer &work)
{
    work->isRunning = true;
    if (!work->requestId.empty()) {
        ++m_executions[work->requestId];
    }
    work->timer.expires_after(m_workTimes.next(m_clock.now()));
    work->timer.async_wait([weak = weak_from_this(), work](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            work->isWorkTimeOver = true;
            self->finishWork(work);
        }
    });
}

void BackendServer::finishWork(const WorkPointer &work)
{
    if (!work->isWorkTimeOver || !work->hasBody || work->isAnswering || work->stream->isClosed()) {
        return;
    }
    work->isAnswering = true;
    work->deadlineTimer.cancel();
    if (work->path == "/work") {
        constexpr std::string_view done = "done";
        work->body.assign(done.begin(), done.end());
    }
    work->stream->respond({{":status", "200"}});
    sendBody(work);
}

void BackendServer::sendBody(const WorkPointer &work)
{
    const bool isDownload = work->path.starts_with("/download");
    const std::uint64_t total = isDownload ? work->downloadBytes : work->body.size();
    std::vector<std::uint8_t> chunk;
    while (work->sentBytes < total) {
        chunk.resize(std::min<std::uint64_t>(sendChunkBytes, total - work->sentBytes));
        for (std::size_t index = 0; index < chunk.size(); ++index) {
            const std::uint64_t offset = work->sentBytes + index;
            chunk[index] = isDownload ? downloadByte(offset) : work->body[offset];
        }
        if (!work->stream->send(chunk)) {
            return;
        }
        work->sentBytes += chunk.size();
    }
    work->stream->end();
}

void BackendServer::removeWork(const WorkPointer &work)
{
    if (m_acceptedWork.erase(work->id) == 0) {
        return;
    }
    work->timer.cancel();
    work->deadlineTimer.cancel();
    if (const auto next = m_queue.remove(work->id)) {
        startWork(m_acceptedWork.at(*next));
    }
    updateReport();
}

void BackendServer::armDeadline(const WorkPointer &work)
{
    if (!work->deadline) {
        return;
    }
    work->deadlineTimer.expires_after(*work->deadline - m_clock.now());
    work->deadlineTimer.async_wait([weak = weak_from_this(), work](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->handleDeadline(work);
        }
    });
}

void BackendServer::handleDeadline(const WorkPointer &work)
{
    if (work->isAnswering || work->stream->isClosed()) {
        return;
    }
    if (!work->isRunning) {
        work->stream->reset(Http2Error::RefusedStream);
        return;
    }
    work->isAnswering = true;
    work->timer.cancel();
    work->stream->respond({{":status", "504"}});
    work->stream->end();
    // The work has ended, so its slot becomes free even if the rest of the request body never arrives.
    removeWork(work);
}

Http2StreamHandlers BackendServer::acceptFeed(const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream)
{
    if (m_isDraining) {
        return {};
    }
    auto feed = std::make_shared<Feed>(m_context);
    feed->stream = stream;
    feed->position = parseNumber(headerValue(request, "jjq-position")).value_or(0);
    ++m_openFeeds;
    stream->respond({{":status", "200"}});
    scheduleFeedLine(feed);
    Http2StreamHandlers handlers;
    handlers.data = [stream](std::span<const std::uint8_t> data) {
        stream->consume(data.size());
    };
    handlers.closed = [weak = weak_from_this(), feed](const Http2StreamEnd &) {
        feed->timer.cancel();
        if (const auto self = weak.lock()) {
            --self->m_openFeeds;
        }
    };
    return handlers;
}

void BackendServer::scheduleFeedLine(const std::shared_ptr<Feed> &feed)
{
    feed->timer.expires_after(m_settings.feedInterval);
    feed->timer.async_wait([weak = weak_from_this(), feed](const asio::error_code &error) {
        const auto self = weak.lock();
        if (error || !self || feed->stream->isClosed()) {
            return;
        }
        // If the stream cannot take the line now, the same position is sent at the next interval, so that no position is left out.
        if (feed->stream->send(bytesOf(fmt::format("{}\n", feed->position + 1)))) {
            ++feed->position;
        }
        self->scheduleFeedLine(feed);
    });
}

Http2StreamHandlers BackendServer::respond(const std::shared_ptr<Http2Stream> &stream, const std::string &status, const std::string &body)
{
    struct PendingAnswer {
        std::string body;
        std::size_t sentBytes = 0;
    };
    stream->respond({{":status", status}});
    const auto pending = std::make_shared<PendingAnswer>(PendingAnswer{body});
    const auto sendRemaining = [stream, pending] {
        while (pending->sentBytes < pending->body.size()) {
            const std::string_view chunk = std::string_view(pending->body).substr(pending->sentBytes, sendChunkBytes);
            if (!stream->send(bytesOf(chunk))) {
                return;
            }
            pending->sentBytes += chunk.size();
        }
        stream->end();
    };
    sendRemaining();
    Http2StreamHandlers handlers;
    handlers.data = [stream](std::span<const std::uint8_t> data) {
        stream->consume(data.size());
    };
    handlers.writable = sendRemaining;
    return handlers;
}

void BackendServer::updateReport()
{
    ReportedLoad load;
    load.isDraining = m_isDraining;
    load.running = static_cast<std::uint32_t>(m_queue.running());
    load.waiting = static_cast<std::uint32_t>(m_queue.waiting());
    m_loadReporter.update(m_clock.now(), load);
}

std::string BackendServer::loadText()
{
    const ReportedLoad load = m_loadReporter.report(m_clock.now());
    return fmt::format(R"({{"running":{},"waiting":{},"slots":{},"draining":{}}})", load.running, load.waiting, m_settings.slots, load.isDraining);
}

std::string BackendServer::executionsText(std::uint32_t minCount) const
{
    std::string text;
    for (const auto &[id, count] : m_executions) {
        if (count >= minCount) {
            text += fmt::format("{} {}\n", id, count);
        }
    }
    return text;
}

}

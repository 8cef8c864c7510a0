#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/log.h>
#include <jujubequay/daemon/backend_settings.h>
#include <jujubequay/daemon/load_reporter.h>
#include <jujubequay/daemon/work_queue.h>
#include <jujubequay/daemon/work_times.h>
#include <jujubequay/net/http2_session.h>

#include <asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace Jujubequay {

/// Returns the byte at an offset of the body of /download.
constexpr std::uint8_t downloadByte(std::uint64_t offset)
{
    return static_cast<std::uint8_t>(offset * 131 + offset / 256);
}

/// Stub of a backend server, for tests and demonstrations. Serves HTTP/2 without TLS.
///
/// | path | answer |
/// |---|---|
/// | `/work` | "done", after the work time |
/// | `/echo` | the body of the request, after the work time |
/// | `/download?bytes=N` | N bytes of downloadByte, after the work time |
/// | `/feed` | one line with the next position at each interval, starting after the position in the header `jjq-position`; occupies no slot |
/// | `/health` | 200, or 503 when draining |
/// | `/load` | `{"running":0,"waiting":0,"slots":3,"draining":false}` |
/// | `/executions?min=N` | a line "identity count" for each `jjq-request-id` whose work was started at least N times (default 1) |
/// | `/drain` | starts draining |
///
/// A request that is not started is reset with REFUSED_STREAM: if slots and queue are full, if `jjq-deadline-ms` passes before the start,
/// or if the server drains. If the deadline passes during the work, the answer is 504.
class BackendServer : public std::enable_shared_from_this<BackendServer>
{
public:
    /// Fails with AddressUnavailable. Port 0 picks a free port.
    static Result<std::shared_ptr<BackendServer>> listen(asio::io_context &context, const Clock &clock, Logger &logger, const BackendSettings &settings);
    ~BackendServer();
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    HostAddress address() const;
    /// Sends GOAWAY on all connections, refuses new work and finishes accepted work.
    void drain();
    /// True if the server is draining, all accepted work has ended and all connections are closed.
    bool isDrained() const;
    /// Returns how often the work of a request identity was started.
    std::uint32_t executions(const std::string &requestId) const;
    /// Returns a line "identity count" for each request identity whose work was started at least `minCount` times.
    std::string executionsText(std::uint32_t minCount) const;
    void stop();

private:
    struct Work;
    struct Feed;
    using WorkPointer = std::shared_ptr<Work>;

    BackendServer(asio::io_context &context, const Clock &clock, Logger &logger, const BackendSettings &settings);
    void acceptNext();
    void startSession(asio::ip::tcp::socket socket);
    Http2StreamHandlers acceptRequest(const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream);
    Http2StreamHandlers acceptWork(const std::string &path, const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream);
    Http2StreamHandlers acceptFeed(const HttpHeaders &request, const std::shared_ptr<Http2Stream> &stream);
    Http2StreamHandlers respond(const std::shared_ptr<Http2Stream> &stream, const std::string &status, const std::string &body);
    void startWork(const WorkPointer &work);
    void finishWork(const WorkPointer &work);
    void sendBody(const WorkPointer &work);
    void removeWork(const WorkPointer &work);
    void armDeadline(const WorkPointer &work);
    void handleDeadline(const WorkPointer &work);
    void scheduleFeedLine(const std::shared_ptr<Feed> &feed);
    void updateReport();
    std::string loadText();

    asio::io_context &m_context;
    const Clock &m_clock;
    Logger &m_logger;
    const BackendSettings m_settings;
    asio::ip::tcp::acceptor m_acceptor;
    std::mt19937_64 m_random;
    WorkTimes m_workTimes;
    WorkQueue m_queue;
    LoadReporter m_loadReporter;
    std::map<WorkQueue::WorkId, WorkPointer> m_acceptedWork;
    std::set<std::shared_ptr<Http2Session>> m_sessions;
    std::unordered_map<std::string, std::uint32_t> m_executions;
    WorkQueue::WorkId m_nextWork = 1;
    std::size_t m_openFeeds = 0;
    bool m_isDraining = false;
};

}

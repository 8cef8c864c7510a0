#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/core/log.h>
#include <jujubequay/daemon/backend_settings.h>
#include <jujubequay/daemon/load_report.h>
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

/// Byte at an offset of the body of /download.
constexpr std::uint8_t downloadByte(std::uint64_t offset)
{
    return static_cast<std::uint8_t>(offset * 131 + offset / 256);
}

/// A stand-in for a backend server on HTTP/2 without TLS.
///
/// | path | answer |
/// |---|---|
/// | `/work`, `/echo` | after the work time: "done", or the body of the request |
/// | `/download?bytes=N` | after the work time: N bytes as downloadByte gives them |
/// | `/feed` | one line with a position at each interval, after the position in the header `jjq-position`; needs no slot |
/// | `/health` | 200, or 503 when draining |
/// | `/load` | `{"running":0,"waiting":0,"slots":3,"draining":false}` |
/// | `/executions?min=N` | a line "identity count" for each `jjq-request-id` that was executed at least N times (default 1) |
/// | `/drain` | starts draining |
///
/// A request that cannot be started is reset with REFUSED_STREAM: no slot and no place in the queue, `jjq-deadline-ms`
/// over before the start, or draining. A deadline that passes during the work is answered with 504.
class BackendServer : public std::enable_shared_from_this<BackendServer>
{
public:
    /// Fails with AddressUnavailable. Port 0 picks a free port.
    static Result<std::shared_ptr<BackendServer>> listen(asio::io_context &context, const Clock &clock, Logger &logger, const BackendSettings &settings);
    ~BackendServer();
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    HostAddress address() const;
    /// Announces GOAWAY on all connections, refuses new work and finishes what was accepted.
    void drain();
    /// True once draining, all accepted work has ended and all connections are closed.
    bool isDrained() const;
    /// Executions of the work of a request identity.
    std::uint32_t executions(const std::string &requestId) const;
    /// A line "identity count" for each request identity that was executed at least `least` times.
    std::string executionsText(std::uint32_t least) const;
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
    Http2StreamHandlers answer(const std::shared_ptr<Http2Stream> &stream, const std::string &status, const std::string &body);
    void startWork(const WorkPointer &work);
    void finishWork(const WorkPointer &work);
    void sendBody(const WorkPointer &work);
    void removeWork(const WorkPointer &work);
    void armDeadline(const WorkPointer &work);
    void deadlinePassed(const WorkPointer &work);
    void feedTick(const std::shared_ptr<Feed> &feed);
    void updateReport();
    std::string loadText();

    asio::io_context &m_context;
    const Clock &m_clock;
    Logger &m_logger;
    const BackendSettings m_settings;
    asio::ip::tcp::acceptor m_acceptor;
    std::mt19937_64 m_random;
    WorkTimes m_times;
    WorkQueue m_queue;
    LoadReport m_report;
    std::map<WorkQueue::WorkId, WorkPointer> m_works;
    std::set<std::shared_ptr<Http2Session>> m_sessions;
    std::unordered_map<std::string, std::uint32_t> m_executions;
    WorkQueue::WorkId m_nextWork = 1;
    std::size_t m_feeds = 0;
    bool m_isDraining = false;
};

}

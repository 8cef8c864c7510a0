#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <control.pb.h>

#include <cstdint>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace Jujubequay {

/// Effect: open a stream to "/announce" at a control host.
struct OpenAnnounceStream {
    HostAddress address; ///< address of the control host
    std::uint64_t stream = 0; ///< number of the stream; to be given with each event of the stream
};
/// Effect: send a message on the open stream.
struct SendAnnouncement {
    jujubequay::pb::AnnounceUp message;
};
/// Effect: end the open stream.
struct CloseAnnounceStream {
};
using AnnouncerEffect = std::variant<OpenAnnounceStream, SendAnnouncement, CloseAnnounceStream>;
using AnnouncerEffects = std::vector<AnnouncerEffect>;

struct AnnouncerOptions {
    std::vector<HostAddress> controlHosts;
    Duration heartbeatInterval = std::chrono::seconds(1); ///< interval of renewals until the control host specifies another one
    Duration answerTimeout = std::chrono::seconds(3); ///< another control host is tried if no answer arrives for this long
    Duration initialRetryDelay = std::chrono::milliseconds(200); ///< upper bound of the random delay before the first retry
    Duration maxRetryDelay = std::chrono::seconds(5); ///< upper bound of the random delay before any retry
    Duration moveInterval = std::chrono::seconds(5); ///< minimum age of a stream that is replaced by one to a preferred control host
};

/// State machine that keeps the lease of one backend server. It announces the server to one control host, renews the lease
/// with heartbeats, and switches to another control host if the current one does not answer.
class Announcer
{
public:
    /// `server` has name, service, zone, host, relay address, incarnation and weight; the constructor sets state and sequence. An agent order
    /// is raised if necessary, so that each further server has a higher one.
    Announcer(AnnouncerOptions options, jujubequay::pb::ServerEntry server, std::mt19937_64 &random);

    /// To be called at least every 100 ms, and at `nextAttempt`.
    AnnouncerEffects tick(TimePoint now);
    /// Time at which the next control host is tried; empty while a stream is open.
    std::optional<TimePoint> nextAttempt() const;
    /// Handles an answer that arrived on a stream.
    AnnouncerEffects receive(TimePoint now, std::uint64_t stream, const jujubequay::pb::AnnounceDown &message);
    /// Handles the end of a stream, or a failure to open it.
    AnnouncerEffects streamClosed(TimePoint now, std::uint64_t stream);
    /// Announces another state immediately.
    AnnouncerEffects setState(TimePoint now, jujubequay::pb::ServerState state);
    /// Announces another server immediately, for example a new process at the same address. Name and relay address must not change.
    AnnouncerEffects setServer(TimePoint now, jujubequay::pb::ServerEntry server);
    /// Handles evidence that a control host is reachable. Switches to it immediately unless the current control host answers.
    AnnouncerEffects handleReachableControlHost(TimePoint now, const HostAddress &address);
    /// Moves an accepted announcement to another control host, at most once in `moveInterval`.
    AnnouncerEffects preferControlHost(TimePoint now, const HostAddress &address);
    /// Replaces the control hosts of the options. An open stream is kept.
    void setControlHosts(std::vector<HostAddress> addresses);

    /// True once a control host has accepted the current state.
    bool isAccepted() const;
    jujubequay::pb::ServerState state() const;
    const jujubequay::pb::ServerEntry &server() const;

private:
    /// Replaces the open stream, if any, by one to the control host.
    void openStreamTo(TimePoint now, const HostAddress &address, AnnouncerEffects &effects);
    void openStream(TimePoint now, AnnouncerEffects &effects);
    void sendAnnouncement(TimePoint now, AnnouncerEffects &effects);
    void scheduleRetry(TimePoint now);

    const AnnouncerOptions m_options;
    jujubequay::pb::ServerEntry m_server;
    std::mt19937_64 &m_random;
    std::vector<HostAddress> m_controlHosts; ///< control hosts in the order in which they are tried
    std::size_t m_currentControlHost = 0; ///< index of the control host of the open stream, or of the next attempt
    std::uint32_t m_failedAttempts = 0; ///< consecutive failed attempts
    std::uint64_t m_streamNumber = 0; ///< number of the latest stream
    bool m_isStreamOpen = false;
    std::uint64_t m_acceptedSequence = 0; ///< sequence of the server entry that the control host accepted last on this stream
    std::uint64_t m_highestAgentOrder = 0; ///< of all announced servers
    Duration m_heartbeatInterval;
    TimePoint m_nextAttempt{};
    TimePoint m_nextHeartbeat{};
    TimePoint m_streamOpenTime{};
    TimePoint m_lastAnswerTime{}; ///< time of the last answer that kept the stream open, or of its opening
};

}

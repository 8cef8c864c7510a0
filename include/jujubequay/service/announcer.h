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

/// Effect: open a stream to "/announce" at a control host. `stream` is passed back with everything that arrives on it.
struct OpenAnnounceStream {
    HostAddress address;
    std::uint64_t stream = 0;
};
/// Effect: send on the open stream.
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
    Duration heartbeat = std::chrono::seconds(1); ///< until the control host names another interval
    Duration answerLimit = std::chrono::seconds(3); ///< without an answer for this long, another control host is tried
    Duration retryBase = std::chrono::milliseconds(200); ///< the first retry waits at most this long
    Duration retryLimit = std::chrono::seconds(5); ///< no retry waits longer
};

/// Keeps the lease of one backend server: announces it to one control host, renews the lease, and changes to another
/// control host when that one does not answer.
class Announcer
{
public:
    /// `server` has name, service, zone, host, relay address, incarnation and weight; state and sequence are set here.
    Announcer(AnnouncerOptions options, jujubequay::pb::ServerEntry server, std::mt19937_64 &random);

    /// Call at least every 100 ms, and at `nextAttempt`.
    AnnouncerEffects tick(TimePoint now);
    /// When the next control host is tried; empty while a stream is open.
    std::optional<TimePoint> nextAttempt() const;
    AnnouncerEffects receive(TimePoint now, std::uint64_t stream, const jujubequay::pb::AnnounceDown &message);
    /// A stream ended or could not be opened.
    AnnouncerEffects closed(TimePoint now, std::uint64_t stream);
    /// Announces another state at once.
    AnnouncerEffects setState(TimePoint now, jujubequay::pb::ServerState state);
    /// Announces another server at once, for example a new process at the same address. Name and relay address stay.
    AnnouncerEffects setServer(TimePoint now, jujubequay::pb::ServerEntry server);
    /// A control host is known to be up. Goes to it at once unless another one answers.
    AnnouncerEffects controlHostAnswers(TimePoint now, const HostAddress &address);
    /// Replaces the control hosts of the options.
    void setControlHosts(std::vector<HostAddress> addresses);

    /// True once a control host has accepted the current state.
    bool isAccepted() const;
    jujubequay::pb::ServerState state() const;
    const jujubequay::pb::ServerEntry &server() const;

private:
    void open(TimePoint now, AnnouncerEffects &effects);
    void send(TimePoint now, AnnouncerEffects &effects);
    void giveUp(TimePoint now);

    const AnnouncerOptions m_options;
    jujubequay::pb::ServerEntry m_server;
    std::mt19937_64 &m_random;
    std::vector<HostAddress> m_choices; ///< in the order in which they are tried
    std::size_t m_choice = 0;
    std::uint32_t m_failures = 0;
    std::uint64_t m_stream = 0;
    bool m_isOpen = false;
    std::uint64_t m_acceptedSequence = 0;
    Duration m_heartbeat;
    TimePoint m_nextAttempt{};
    TimePoint m_nextHeartbeat{};
    TimePoint m_openedAt{};
    TimePoint m_lastAnswer{};
};

}

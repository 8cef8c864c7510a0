#include <jujubequay/control/watch_server.h>
#include <jujubequay/control/watch_subscriber.h>
#include <jujubequay/core/result_code.h>
#include <jujubequay/service/announcer.h>
#include <jujubequay/steering/server_directory.h>
#include <jujubequay/steering_program/server_announcements.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

using namespace Jujubequay;
namespace pb = jujubequay::pb;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t zoneCount = 3;
constexpr std::size_t agentCount = 6;
constexpr std::size_t watcherCount = 4;
constexpr auto stepTime = milliseconds(50);
constexpr auto runTime = seconds(90);
constexpr std::uint64_t startWallMs = 1'000'000'000;
/// Control hosts are up to this far from the true time, and their clocks are set to another time now and then.
constexpr std::uint64_t maxClockErrorMs = 3000;

HostAddress controlAddress(std::size_t zone)
{
    return {0x0A000001U + static_cast<std::uint32_t>(zone), 1};
}

HostAddress agentAddress(std::size_t agent)
{
    return {0x0A010001U + static_cast<std::uint32_t>(agent), 2};
}

std::string controlName(std::size_t zone)
{
    return fmt::format("control-{}", zone);
}

/// A stream between two zones. Each direction delivers in order; messages that meet a cut are lost together with the stream.
struct Stream {
    std::array<std::size_t, 2> zones{};
    std::array<std::function<void()>, 2> closed; ///< called when the other side or the network has ended the stream
    std::array<TimePoint, 2> lastDelivery{};
    bool isOpen = true;
};
using StreamPointer = std::shared_ptr<Stream>;

struct ControlHost {
    std::string name;
    std::uint64_t epoch = 0;
    std::unique_ptr<LeaseRegistry> registry;
    std::unique_ptr<ReportStore> reports;
    std::unique_ptr<WatchServer> watch;
    std::map<std::size_t, std::pair<StreamPointer, std::uint64_t>> exchange; ///< stream and position by zone of the receiver
    std::vector<StreamPointer> streams; ///< all streams of this run, in the order of their opening
    std::map<WatcherId, std::function<void(std::shared_ptr<const pb::WatchDown>)>> watchers;
    std::map<WatcherId, StreamPointer> watchStreams;
    bool isFilled = false;
    TimePoint startedAt{};
    std::optional<TimePoint> minoritySince;
    std::int64_t clockErrorMs = 0;
    TimePoint pausedUntil{};
};

struct Server {
    ServerAnnouncement announcement;
    Incarnation incarnation;
    TimePoint nextAnnouncement{};
    std::optional<TimePoint> deregistersAt;
    std::optional<TimePoint> endsAt;
};

struct Agent {
    std::uint32_t epoch = 0;
    std::uint32_t absentIncarnation = 0;
    std::unique_ptr<ServerAnnouncements> announcements; ///< null while the agent is down
    std::unique_ptr<Announcer> announcer;
    bool isServerAbsent = false;
    bool isAnnouncing = false;
    bool isStopping = false;
    StreamPointer stream;
    std::optional<Server> server;
    std::uint64_t serverCount = 0;
};

struct Watcher {
    std::unique_ptr<WatchSubscriber> subscriber;
    std::unique_ptr<ServerDirectory> directory;
    StreamPointer stream;
    TimePoint pausedUntil{};
};

/// Control hosts, agents with their servers, and watchers, without a network. Messages are delayed, and zones are cut off from each other.
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t zone = 0; zone < zoneCount; ++zone) {
            m_hosts[zone].name = controlName(zone);
            setClock(zone);
            startHost(zone);
        }
        for (std::size_t index = 0; index < agentCount; ++index) {
            startServer(index);
            startAgent(index);
        }
        for (std::size_t index = 0; index < watcherCount; ++index) {
            WatchSubscriberOptions options;
            options.host = fmt::format("watcher-{}", index);
            options.zone = fmt::format("zone-{}", index % zoneCount);
            options.controlHosts = {controlAddress(0), controlAddress(1), controlAddress(2)};
            options.silenceTimeout = seconds(3);
            options.maxRetryDelay = seconds(1);
            m_watchers[index].subscriber = std::make_unique<WatchSubscriber>(options, m_random);
            m_watchers[index].directory = std::make_unique<ServerDirectory>(ServerDirectoryOptions());
        }
    }

    /// Returns the first belief that a running server has ended; empty if there is none.
    std::string run()
    {
        for (const TimePoint end = m_now + runTime; m_now < end && m_failure.empty(); m_now += stepTime) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            injectFault();
            for (std::size_t index = 0; index < agentCount; ++index) {
                stepServer(index);
                stepAgent(index);
            }
            for (std::size_t zone = 0; zone < zoneCount; ++zone) {
                stepHost(zone);
            }
            for (std::size_t index = 0; index < watcherCount; ++index) {
                if (m_now >= m_watchers[index].pausedUntil) {
                    execute(index, m_watchers[index].subscriber->tick(m_now));
                }
            }
        }
        return m_failure;
    }

    std::size_t checkCount() const
    {
        return m_checkCount;
    }

private:
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }

    bool chance(std::uint64_t oneIn)
    {
        return below(oneIn) == 0;
    }

    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    void note(std::string text)
    {
        m_log.push_back(fmt::format("{} ms: {}", std::chrono::duration_cast<milliseconds>(m_now - m_start).count(), text));
    }

    std::uint64_t wallMs() const
    {
        return startWallMs + static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(m_now - m_start).count());
    }

    // Network

    bool isCut(std::size_t left, std::size_t right) const
    {
        return left != right && (m_isCutOff[left] || m_isCutOff[right]);
    }

    StreamPointer openStream(std::size_t from, std::size_t to)
    {
        auto stream = std::make_shared<Stream>();
        stream->zones = {from, to};
        return stream;
    }

    /// Ends the stream; a side that has not done it itself learns of it later.
    void endStream(const StreamPointer &stream, std::optional<std::size_t> initiator)
    {
        if (!stream || !stream->isOpen) {
            return;
        }
        stream->isOpen = false;
        for (std::size_t side = 0; side < 2; ++side) {
            if (side != initiator && stream->closed[side]) {
                after(milliseconds(below(3000)), stream->closed[side]);
            }
        }
    }

    void send(const StreamPointer &stream, std::size_t side, std::function<void()> handler)
    {
        const Duration delay = chance(20) ? milliseconds(below(2000)) : milliseconds(below(60));
        TimePoint &last = stream->lastDelivery[side];
        last = std::max(last, m_now + delay);
        m_events.emplace(last, [this, stream, side, handler = std::move(handler)] {
            arrive(stream, side, handler);
        });
    }

    /// A paused control host handles its messages later, in order.
    void arrive(const StreamPointer &stream, std::size_t side, const std::function<void()> &handler)
    {
        const TimePoint pausedUntil = side == 0 ? m_hosts[stream->zones[1]].pausedUntil : TimePoint();
        if (stream->isOpen && isCut(stream->zones[0], stream->zones[1])) {
            endStream(stream, std::nullopt);
        } else if (stream->isOpen && m_now < pausedUntil) {
            m_events.emplace(pausedUntil, [this, stream, side, handler] {
                arrive(stream, side, handler);
            });
        } else if (stream->isOpen) {
            handler();
        }
    }

    // Control hosts

    void setClock(std::size_t zone)
    {
        m_hosts[zone].clockErrorMs = static_cast<std::int64_t>(below(2 * maxClockErrorMs + 1)) - static_cast<std::int64_t>(maxClockErrorMs);
        note(fmt::format("clock of {} is {} ms ahead", controlName(zone), m_hosts[zone].clockErrorMs));
    }

    void startHost(std::size_t zone)
    {
        ControlHost &host = m_hosts[zone];
        host.epoch = m_random() | 1U;
        host.registry = std::make_unique<LeaseRegistry>(host.name, host.epoch, LeaseOptions());
        host.reports = std::make_unique<ReportStore>(host.name, ReportStore::Options());
        host.watch = std::make_unique<WatchServer>(m_state, *host.registry, *host.reports, WatchServerOptions());
        host.isFilled = false;
        host.startedAt = m_now;
        host.pausedUntil = {};
        host.minoritySince.reset();
        for (std::size_t peer = 0; peer < zoneCount; ++peer) {
            if (peer != zone) {
                host.registry->peerDisconnected(m_now, controlName(peer));
            }
        }
    }

    void stopHost(std::size_t zone)
    {
        ControlHost &host = m_hosts[zone];
        note(fmt::format("{} stops", host.name));
        for (const StreamPointer &stream : std::exchange(host.streams, {})) {
            endStream(stream, stream->zones[1] == zone ? 1 : 0);
        }
        host.exchange.clear();
        host.watchers.clear();
        host.watchStreams.clear();
        host.watch.reset();
        host.registry.reset();
        after(milliseconds(below(4000)), [this, zone] {
            startHost(zone);
        });
    }

    void stepHost(std::size_t zone)
    {
        ControlHost &host = m_hosts[zone];
        if (!host.registry || m_now < host.pausedUntil) {
            return;
        }
        std::size_t reachable = 1;
        for (std::size_t peer = 0; peer < zoneCount; ++peer) {
            if (peer == zone || !m_hosts[peer].registry || isCut(zone, peer)) {
                continue;
            }
            ++reachable;
            exchangeWith(zone, peer);
        }
        const bool isMinority = reachable * 2 <= zoneCount;
        host.minoritySince = isMinority ? std::optional(host.minoritySince.value_or(m_now)) : std::nullopt;
        host.registry->setIsolated(isMinority && m_now - *host.minoritySince > seconds(1));
        host.isFilled = host.isFilled || m_now - host.startedAt > seconds(5);
        host.registry->tick(m_now);
        host.watch->setRegistryFilled(host.isFilled);
        host.watch->setRegistryComplete(host.isFilled);
        for (const auto &effect : host.watch->pump(m_now)) {
            if (const auto *confirm = std::get_if<ConfirmState>(&effect); confirm != nullptr && !isMinority) {
                host.watch->stateConfirmed(m_now, confirm->number);
            } else if (const auto *sent = std::get_if<SendToWatcher>(&effect)) {
                host.watchers.at(sent->watcher)(sent->message);
            } else if (const auto *close = std::get_if<CloseWatcher>(&effect)) {
                endStream(host.watchStreams.at(close->watcher), 1);
            }
        }
    }

    void exchangeWith(std::size_t zone, std::size_t peer)
    {
        ControlHost &host = m_hosts[zone];
        auto &[stream, position] = host.exchange[peer];
        if (!stream) {
            if (!chance(10)) {
                return;
            }
            stream = openStream(zone, peer);
            position = 0;
            host.streams.push_back(stream);
            m_hosts[peer].streams.push_back(stream);
            const std::uint64_t epoch = host.epoch;
            stream->closed[0] = [this, zone, peer, epoch] {
                if (m_hosts[zone].registry && m_hosts[zone].epoch == epoch) {
                    m_hosts[zone].exchange.erase(peer);
                }
            };
            const std::uint64_t peerEpoch = m_hosts[peer].epoch;
            stream->closed[1] = [this, zone, peer, peerEpoch] {
                if (m_hosts[peer].registry && m_hosts[peer].epoch == peerEpoch) {
                    m_hosts[peer].registry->peerDisconnected(m_now, controlName(zone));
                }
            };
            send(stream, 0, [this, zone, peer] {
                m_hosts[peer].registry->peerConnected(controlName(zone));
            });
        }
        if (!stream->isOpen) {
            return;
        }
        for (const pb::RegistryDelta &delta : host.registry->localChangesAfter(position)) {
            send(stream, 0, [this, peer, delta, isFilled = host.isFilled] {
                for (const pb::ServerEntry &entry : delta.servers()) {
                    m_hosts[peer].registry->merge(m_now, entry);
                }
                m_hosts[peer].isFilled = m_hosts[peer].isFilled || (isFilled && !delta.more());
            });
        }
        position = host.registry->sequence();
    }

    std::optional<std::size_t> reachableHost(std::size_t zone, const HostAddress &address) const
    {
        for (std::size_t target = 0; target < zoneCount; ++target) {
            if (controlAddress(target) == address && m_hosts[target].registry && !isCut(zone, target)) {
                return target;
            }
        }
        return std::nullopt;
    }

    // Servers and agents

    void startServer(std::size_t index)
    {
        Agent &agent = m_agents[index];
        Server server;
        server.announcement.id = chance(3) && agent.serverCount > 0 ? m_lastIds[index] : fmt::format("i-{}-{}", index, agent.serverCount);
        m_lastIds[index] = server.announcement.id;
        ++agent.serverCount;
        server.announcement.startedAtMs = wallMs();
        server.announcement.service = "feed";
        ServerAnnouncements identity{seconds(1)};
        identity.handleAnnouncement(m_now, server.announcement);
        server.incarnation = {identity.incarnation()};
        server.nextAnnouncement = m_now + milliseconds(below(800));
        note(fmt::format("server {} starts as {}, incarnation {}", index, server.announcement.id, server.incarnation.value));
        agent.server = server;
    }

    void endServer(std::size_t index)
    {
        note(fmt::format("server {} ends", index));
        m_agents[index].server.reset();
        const auto pause = chance(2) ? milliseconds(below(400)) : milliseconds(below(9000));
        after(pause, [this, index] {
            startServer(index);
        });
    }

    /// Calls the agent, unless it is down; a call that is delayed by seconds may arrive after the server has ended.
    void callAgent(std::size_t index, std::function<void(Agent &)> handler)
    {
        if (chance(20)) {
            return;
        }
        after(chance(30) ? milliseconds(below(4000)) : milliseconds(below(30)), [this, index, handler = std::move(handler)] {
            if (m_agents[index].announcements && !m_agents[index].isStopping) {
                handler(m_agents[index]);
            }
        });
    }

    void stepServer(std::size_t index)
    {
        if (!m_agents[index].server) {
            return;
        }
        Server &server = *m_agents[index].server;
        if (server.endsAt && m_now >= *server.endsAt) {
            endServer(index);
            return;
        }
        if (server.deregistersAt && m_now >= *server.deregistersAt) {
            server.deregistersAt.reset();
            server.endsAt = m_now + milliseconds(below(5000));
            note(fmt::format("server {} deregisters", index));
            for (std::uint64_t call = 0; call <= below(2); ++call) {
                callAgent(index, [this, index, announcement = server.announcement](Agent &agent) {
                    if (agent.announcements->handleDeparture(announcement.id, announcement.startedAtMs)) {
                        applyServer(index);
                    }
                });
            }
        }
        if (!server.endsAt && m_now >= server.nextAnnouncement) {
            ++server.announcement.sequence;
            server.nextAnnouncement = m_now + milliseconds(500);
            callAgent(index, [this, index, announcement = server.announcement](Agent &agent) {
                if (agent.announcements->handleAnnouncement(m_now, announcement) != AnnouncementOutcome::Late) {
                    applyServer(index);
                }
            });
        }
    }

    void startAgent(std::size_t index)
    {
        Agent &agent = m_agents[index];
        agent.epoch = static_cast<std::uint32_t>(m_random()) | 1U;
        agent.absentIncarnation = static_cast<std::uint32_t>(m_random()) | 2U;
        agent.announcements = std::make_unique<ServerAnnouncements>(milliseconds(1500));
        agent.isAnnouncing = false;
        agent.isStopping = false;
        agent.isServerAbsent = !agent.server;
        if (agent.server) {
            agent.announcements->serverFound(m_now + seconds(1));
        }
        AnnouncerOptions options;
        options.controlHosts = {controlAddress(0), controlAddress(1), controlAddress(2)};
        options.answerTimeout = seconds(1);
        options.maxRetryDelay = seconds(1);
        options.heartbeatInterval = milliseconds(500);
        agent.announcer = std::make_unique<Announcer>(options, serverEntry(index), m_random);
        note(fmt::format("agent {} starts, epoch {}", index, agent.epoch));
    }

    /// As SteeringAgentProcess::serverEntry.
    pb::ServerEntry serverEntry(std::size_t index) const
    {
        const Agent &agent = m_agents[index];
        pb::ServerEntry entry;
        entry.set_name(toString(agentAddress(index)));
        entry.set_zone(fmt::format("zone-{}", index % zoneCount));
        entry.set_relay_address(entry.name());
        entry.set_weight(100);
        entry.set_agent_epoch(agent.epoch);
        entry.set_service("feed");
        const auto &current = agent.announcements->current();
        const auto runningState = agent.announcements->acceptsNewFlows(m_now) ? pb::SERVER_STATE_SERVING : pb::SERVER_STATE_DRAINING;
        if (agent.announcements->isUnannounced()) {
            entry.set_incarnation(unconfirmedIncarnation.value);
            entry.set_agent_order(1);
            entry.set_state(runningState);
        } else if (!current) {
            if (agent.isAnnouncing) {
                entry = agent.announcer->server();
            } else {
                entry.set_incarnation(agent.absentIncarnation);
                entry.set_agent_order(wallMs());
            }
            entry.set_state(pb::SERVER_STATE_LEFT);
        } else {
            entry.set_incarnation(agent.announcements->incarnation());
            entry.set_agent_order(agent.announcements->current()->startedAtMs);
            entry.set_state(runningState);
        }
        return entry;
    }

    /// As SteeringAgentProcess::applyServer.
    void applyServer(std::size_t index)
    {
        Agent &agent = m_agents[index];
        if (!agent.announcements->current() && !agent.announcements->isUnannounced() && !agent.isServerAbsent && !agent.isAnnouncing) {
            return;
        }
        const pb::ServerEntry wanted = serverEntry(index);
        if (agent.announcer->state() != wanted.state() || agent.announcer->server().incarnation() != wanted.incarnation()) {
            note(fmt::format("agent {} announces {} as {}", index, wanted.incarnation(), pb::ServerState_Name(wanted.state())));
            execute(index, agent.announcer->setServer(m_now, wanted));
        }
        agent.isAnnouncing = true;
    }

    void stepAgent(std::size_t index)
    {
        Agent &agent = m_agents[index];
        if (!agent.announcements) {
            return;
        }
        if (!agent.isStopping && agent.announcements->mayHaveEnded(m_now) && !agent.server) {
            agent.announcements->removeServer();
        }
        if (!agent.isStopping) {
            applyServer(index);
        }
        if (agent.isAnnouncing) {
            execute(index, agent.announcer->tick(m_now));
        }
    }

    void stopAgent(std::size_t index)
    {
        Agent &agent = m_agents[index];
        note(fmt::format("agent {} stops", index));
        // As SteeringAgentProcess::waitForStop: the end of a departed server is announced if its process has ended.
        if (agent.announcements->mayHaveEnded(m_now) && !agent.server) {
            agent.announcements->removeServer();
            applyServer(index);
        }
        agent.isStopping = true;
        after(milliseconds(300), [this, index] {
            Agent &stopped = m_agents[index];
            endStream(std::exchange(stopped.stream, nullptr), 0);
            stopped.announcements.reset();
            stopped.announcer.reset();
            after(milliseconds(below(2500)), [this, index] {
                startAgent(index);
            });
        });
    }

    void execute(std::size_t index, const AnnouncerEffects &effects)
    {
        for (const auto &effect : effects) {
            StreamPointer &stream = m_agents[index].stream;
            if (const auto *open = std::get_if<OpenAnnounceStream>(&effect)) {
                endStream(std::exchange(stream, nullptr), 0);
                openAnnounceStream(index, *open);
            } else if (const auto *announcement = std::get_if<SendAnnouncement>(&effect)) {
                if (stream) {
                    sendAnnouncement(index, announcement->message.server());
                }
            } else {
                endStream(std::exchange(stream, nullptr), 0);
            }
        }
    }

    void openAnnounceStream(std::size_t index, const OpenAnnounceStream &open)
    {
        Agent &agent = m_agents[index];
        const std::uint32_t epoch = agent.epoch;
        const auto closed = [this, index, epoch, number = open.stream] {
            Agent &current = m_agents[index];
            if (current.announcer && current.epoch == epoch) {
                execute(index, current.announcer->streamClosed(m_now, number));
            }
        };
        const auto target = reachableHost(index % zoneCount, open.address);
        if (!target) {
            after(milliseconds(below(500)), closed);
            return;
        }
        agent.stream = openStream(index % zoneCount, *target);
        agent.stream->closed[0] = closed;
        m_hosts[*target].streams.push_back(agent.stream);
        m_keptStreams.push_back(agent.stream);
        m_announceStreams[agent.stream.get()] = {++m_lastSession, open.stream};
    }

    void sendAnnouncement(std::size_t index, const pb::ServerEntry &entry)
    {
        const StreamPointer stream = m_agents[index].stream;
        const auto [session, number] = m_announceStreams.at(stream.get());
        send(stream, 0, [this, index, stream, session = session, number = number, entry] {
            ControlHost &host = m_hosts[stream->zones[1]];
            const pb::AnnounceDown answer = host.registry->announce(m_now, wallMs() + static_cast<std::uint64_t>(host.clockErrorMs), session, entry);
            send(stream, 1, [this, index, stream, number, answer] {
                if (m_agents[index].stream == stream) {
                    execute(index, m_agents[index].announcer->receive(m_now, number, answer));
                }
            });
        });
    }

    // Watchers

    void execute(std::size_t index, const WatchSubscriberEffects &effects)
    {
        Watcher &watcher = m_watchers[index];
        for (const auto &effect : effects) {
            if (const auto *open = std::get_if<OpenWatchStream>(&effect)) {
                openWatchStream(index, *open);
            } else if (const auto *up = std::get_if<SendToControl>(&effect)) {
                if (watcher.stream) {
                    send(watcher.stream, 0, [this, stream = watcher.stream, id = m_watcherIds[watcher.stream.get()], message = up->message] {
                        m_hosts[stream->zones[1]].watch->receive(m_now, id, message);
                    });
                }
            } else if (std::holds_alternative<CloseWatchStream>(effect)) {
                endStream(std::exchange(watcher.stream, nullptr), 0);
            } else if (const auto *config = std::get_if<PublishConfig>(&effect)) {
                watcher.directory->update(m_now, *config->snapshot);
                check(index);
            }
        }
    }

    void openWatchStream(std::size_t index, const OpenWatchStream &open)
    {
        Watcher &watcher = m_watchers[index];
        const auto closed = [this, index, number = open.stream] {
            execute(index, m_watchers[index].subscriber->streamClosed(m_now, number));
        };
        watcher.stream.reset();
        const auto target = reachableHost(index % zoneCount, open.address);
        if (!target) {
            after(milliseconds(below(500)), closed);
            return;
        }
        const StreamPointer stream = openStream(index % zoneCount, *target);
        const WatcherId id = ++m_lastSession;
        ControlHost &host = m_hosts[*target];
        watcher.stream = stream;
        m_watcherIds[stream.get()] = id;
        m_keptStreams.push_back(stream);
        host.streams.push_back(stream);
        host.watch->addWatcher(m_now, id);
        host.watchStreams[id] = stream;
        host.watchers[id] = [this, index, stream, number = open.stream](const std::shared_ptr<const pb::WatchDown> &message) {
            send(stream, 1, [this, index, stream, number, message] {
                deliver(index, stream, number, message);
            });
        };
        stream->closed[0] = closed;
        stream->closed[1] = [this, target = *target, id, epoch = host.epoch] {
            if (m_hosts[target].registry && m_hosts[target].epoch == epoch) {
                m_hosts[target].watch->removeWatcher(m_now, id);
            }
        };
    }

    /// A paused watcher handles its messages later, in order.
    void deliver(std::size_t index, const StreamPointer &stream, std::uint64_t number, const std::shared_ptr<const pb::WatchDown> &message)
    {
        Watcher &watcher = m_watchers[index];
        if (m_now < watcher.pausedUntil) {
            m_events.emplace(watcher.pausedUntil, [this, index, stream, number, message] {
                deliver(index, stream, number, message);
            });
        } else if (watcher.stream == stream) {
            execute(index, watcher.subscriber->receive(m_now, number, *message));
        }
    }

    void check(std::size_t index)
    {
        for (std::size_t agent = 0; agent < agentCount; ++agent) {
            const auto &server = m_agents[agent].server;
            if (!server || !m_failure.empty()) {
                continue;
            }
            ++m_checkCount;
            if (const auto end = m_watchers[index].directory->serverEnd(agentAddress(agent), server->incarnation)) {
                note(fmt::format("watcher {}: running server {} with incarnation {} counts as {}, successor {}",
                                 index,
                                 agent,
                                 server->incarnation.value,
                                 serverEndCauseName(end->cause),
                                 end->successor.value));
                for (const std::string &line : m_log) {
                    m_failure += line + "\n";
                }
            }
        }
    }

    void injectFault()
    {
        if (!chance(10)) {
            return;
        }
        const std::size_t zone = below(zoneCount);
        const std::size_t index = below(agentCount);
        Agent &agent = m_agents[index];
        switch (below(14)) {
        case 0:
        case 1:
        case 2:
            if (agent.server && !agent.server->deregistersAt && !agent.server->endsAt) {
                agent.server->announcement.isDraining = true;
                agent.server->deregistersAt = m_now + milliseconds(below(3000));
            }
            break;
        case 3:
        case 4:
            if (agent.server) {
                endServer(index);
            }
            break;
        case 5:
        case 6:
            if (agent.announcements && !agent.isStopping) {
                stopAgent(index);
            }
            break;
        case 7:
            if (m_hosts[zone].registry && chance(3)) {
                stopHost(zone);
            }
            break;
        case 8:
        case 9:
            if (!m_isCutOff[zone]) {
                m_isCutOff[zone] = true;
                note(fmt::format("zone {} is cut off", zone));
                after(milliseconds(below(12000)), [this, zone] {
                    m_isCutOff[zone] = false;
                    note(fmt::format("zone {} is reachable", zone));
                });
            }
            break;
        case 10:
            setClock(zone);
            break;
        case 11:
            if (chance(4)) {
                m_hosts[zone].pausedUntil = m_now + milliseconds(below(8000));
                note(fmt::format("{} is paused", controlName(zone)));
            }
            break;
        default:
            m_watchers[below(watcherCount)].pausedUntil = m_now + milliseconds(below(6000));
            break;
        }
    }

    std::mt19937_64 m_random;
    const TimePoint m_start{seconds(1000)};
    TimePoint m_now = m_start;
    std::multimap<TimePoint, std::function<void()>> m_events;
    const ControlState m_state{ControlState::Options()};
    std::array<ControlHost, zoneCount> m_hosts;
    std::array<Agent, agentCount> m_agents;
    std::array<Watcher, watcherCount> m_watchers;
    std::array<std::string, agentCount> m_lastIds;
    std::array<bool, zoneCount> m_isCutOff{};
    std::map<Stream *, std::pair<LeaseRegistry::SessionId, std::uint64_t>> m_announceStreams;
    std::map<Stream *, WatcherId> m_watcherIds;
    std::vector<StreamPointer> m_keptStreams; ///< keeps their addresses, which are keys, unique
    std::uint64_t m_lastSession = 0;
    std::vector<std::string> m_log;
    std::string m_failure;
    std::size_t m_checkCount = 0;
};

/// Number of seeds; JJQ_SERVER_END_SEEDS sets it for longer runs.
std::uint64_t seedCount()
{
    const char *text = std::getenv("JJQ_SERVER_END_SEEDS");
    return text == nullptr ? 150 : std::strtoull(text, nullptr, 10);
}

}

class ServerEndRandomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerEndRandomTest);
    CPPUNIT_TEST(runningServersNeverCountAsEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A host that believes that a running server has ended resets the open flows of that server.
    void runningServersNeverCountAsEnded()
    {
        std::size_t checks = 0;
        std::string failures;
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            RandomRun run(seed);
            const std::string failure = run.run();
            checks += run.checkCount();
            if (!failure.empty()) {
                failures += fmt::format("seed {}\n{}", seed, failure);
            }
        }
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
        CPPUNIT_ASSERT(checks > 1000 * seedCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerEndRandomTest);

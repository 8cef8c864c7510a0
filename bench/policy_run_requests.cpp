#include "policy_run.h"

#include <algorithm>

namespace Jujubequay::Bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t requestBytes = 700;
constexpr std::uint32_t maxAttempts = 6;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

void PolicyRun::scheduleArrival(int service, double rate, bool flood)
{
    const Duration gap = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<double>(rate)(m_random)));
    m_events.after(gap, [this, service, rate, flood] {
        int customer = 0;
        if (!flood) {
            customer = std::discrete_distribution<int>(m_customerShares.begin(), m_customerShares.end())(m_random);
        }
        const bool active = flood ? isFairnessWindow() : m_events.now() > TimePoint{} + 30s;
        if (active) {
            submitRequest(service, customer);
        }
        scheduleArrival(service, rate, flood);
    });
}

void PolicyRun::submitRequest(int service, int customer)
{
    const std::vector<RequestKind> &kinds = m_deployment.services[service].kinds;
    double pick = uniform(0, 1);
    std::size_t kind = 0;
    while (kind + 1 < kinds.size() && pick >= kinds[kind].share) {
        pick -= kinds[kind].share;
        ++kind;
    }
    const std::vector<int> &callers = m_callersByCustomer[service][customer];
    Request request;
    request.caller = callers[m_random() % callers.size()];
    request.service = service;
    request.kind = &kinds[kind];
    const double seconds = std::gamma_distribution<double>(2, toSeconds(kinds[kind].slotTime) / 2)(m_random);
    request.slotTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    request.submittedAt = m_events.now();
    request.deadline = m_events.now() + kinds[kind].deadline;
    request.fairnessCounted = isFairnessWindow();
    if (request.fairnessCounted) {
        m_demandSeconds[service][customer] += seconds;
    }
    const int index = static_cast<int>(m_requests.size());
    m_requests.push_back(request);
    m_callers[request.caller].budget.recordRequest();
    ++m_result.requests;
    dispatchRequest(index);
}

std::vector<int> PolicyRun::usableFlows(int caller, int excludedFlow) const
{
    std::vector<int> usable;
    for (const int flow : m_callers[caller].flows) {
        if (flow != excludedFlow && m_flows[flow].open && !m_flows[flow].draining) {
            usable.push_back(flow);
        }
    }
    return usable;
}

void PolicyRun::dispatchRequest(int request)
{
    const Request &current = m_requests[request];
    const std::vector<int> flows = usableFlows(current.caller, -1);
    if (flows.empty()) {
        if (m_events.now() >= current.deadline) {
            endRequest(request, ResultCode::NotRunUnavailable);
            return;
        }
        m_events.after(100ms, [this, request] {
            dispatchRequest(request);
        });
        return;
    }
    std::size_t chosen = m_random() % flows.size();
    if (m_policy.useLoad) {
        std::vector<FlowCandidate> candidates;
        candidates.reserve(flows.size());
        for (const int flow : flows) {
            candidates.push_back({.work = m_flows[flow].estimate.work(m_events.now()), .outstandingRequests = m_flows[flow].outstanding});
        }
        chosen = *chooseFlow(candidates, m_random);
    }
    sendAttempt(request, flows[chosen], m_policy.moveRequests && !current.moved && flows.size() > 1);
}

void PolicyRun::sendAttempt(int request, int flow, bool canMove, std::optional<double> otherServerWork, int movedFrom)
{
    ++m_requests[request].attempts;
    ++m_result.attempts;
    const int attempt = static_cast<int>(m_attempts.size());
    int server = m_flows[flow].server;
    if (m_policy.placement == Placement::Central) {
        server = serverWithFewestAssignedRequests(m_requests[request].service);
        ++m_servers[server].assignedRequests;
    }
    m_attempts.push_back({.request = request,
                          .flow = flow,
                          .server = server,
                          .incarnation = m_servers[server].incarnation,
                          .canMove = canMove,
                          .otherServerWork = otherServerWork,
                          .movedFrom = movedFrom});
    ++m_flows[flow].outstanding;
    m_flows[flow].estimate.recordSent();

    const int balancer = randomBalancer();
    const Duration toBalancer = m_network.toCaller(requestBytes);
    if (!packetReachesFlow(flow, balancer)) {
        m_attempts[attempt].ended = true;
        breakFlow(flow, m_lastChangePlanned);
        m_events.after(2 * toBalancer, [this, attempt] {
            receiveAnswer(attempt, ResultCode::OutcomeUnknown, {}, {});
        });
        return;
    }
    m_events.after(toBalancer + m_network.betweenZones(m_balancers[balancer].zone, m_servers[server].zone, requestBytes), [this, attempt, balancer] {
        attachOtherServerLoad(balancer, m_attempts[attempt].server);
        receiveAttempt(attempt);
    });
}

void PolicyRun::receiveAttempt(int attempt)
{
    Attempt &received = m_attempts[attempt];
    const Server &server = m_servers[received.server];
    if (received.ended) {
        return;
    }
    if (!server.alive || server.incarnation != received.incarnation) {
        received.ended = true;
        m_events.after(1s, [this, attempt] {
            receiveAnswer(attempt, ResultCode::OutcomeUnknown, {}, {});
        });
        return;
    }
    const Request &request = m_requests[received.request];
    AdmissionRequest admission{.id = static_cast<std::uint64_t>(attempt),
                               .customer = std::to_string(m_callers[request.caller].customer),
                               .workClass = request.kind->workClass,
                               .deadline = request.deadline,
                               .canMove = received.canMove,
                               .otherServerWork = received.otherServerWork};
    const int other = otherServer(attempt);
    LoadEstimate *estimate = other < 0 ? nullptr : &m_servers[received.server].loadEstimates[other];
    if (m_policy.discardContradicted && admission.otherServerWork && contradictsMove(*admission.otherServerWork, admissionOptions().moveMargin)) {
        m_servers[received.server].loadEstimates[received.movedFrom].recordContradiction(m_events.now());
    }
    if (m_policy.loadOnForward && !admission.otherServerWork && estimate && (estimate->flows(m_events.now()) || estimate->isContradicted(m_events.now()))) {
        admission.otherServerWork = estimate->work(m_events.now());
    }
    accumulateBusyTime(m_servers[received.server]);
    const AdmissionEffects effects = server.queue->submit(m_events.now(), admission);
    const auto *refuse = effects.empty() ? nullptr : std::get_if<RefuseRequest>(&effects.back());
    if (estimate && refuse && refuse->code == ResultCode::NotRunMoved) {
        m_attempts[attempt].moveTo = other;
        estimate->recordSent();
    }
    applyEffects(received.server, effects);
}

int PolicyRun::otherServer(int attempt) const
{
    const std::vector<int> others = usableFlows(m_requests[m_attempts[attempt].request].caller, m_attempts[attempt].flow);
    int best = -1;
    double least = 0;
    for (const int flow : others) {
        const int server = m_flows[flow].server;
        const auto estimate = m_servers[m_attempts[attempt].server].loadEstimates.find(server);
        const double work = estimate == m_servers[m_attempts[attempt].server].loadEstimates.end() ? 0 : estimate->second.work(m_events.now());
        if (best < 0 || work < least) {
            best = server;
            least = work;
        }
    }
    return best;
}

void PolicyRun::attachOtherServerLoad(int balancer, int server)
{
    if (!m_policy.loadOnForward) {
        return;
    }
    const int other = static_cast<int>(m_random() % m_servers.size());
    const auto load = m_balancers[balancer].serverLoads.find(other);
    if (other != server && m_servers[other].service == m_servers[server].service && load != m_balancers[balancer].serverLoads.end()) {
        m_servers[server].loadEstimates[other].recordReport(m_events.now(), load->second);
    }
}

void PolicyRun::applyEffects(int server, const AdmissionEffects &effects)
{
    accumulateBusyTime(m_servers[server]);
    for (const AdmissionEffect &effect : effects) {
        if (const auto *start = std::get_if<StartRequest>(&effect)) {
            startAttempt(static_cast<int>(start->id));
        } else {
            const auto &refuse = std::get<RefuseRequest>(effect);
            sendAnswer(static_cast<int>(refuse.id), refuse.code, refuse.retryAfter);
        }
    }
}

void PolicyRun::startAttempt(int attempt)
{
    Attempt &started = m_attempts[attempt];
    Request &request = m_requests[started.request];
    const Server &server = m_servers[started.server];
    started.started = true;
    ++request.executions;
    if (!request.kind->idempotent && request.executions == 2) {
        ++m_result.executedTwice;
    }
    if (server.drainStartedAt && m_events.now() - *server.drainStartedAt > 5s) {
        ++m_result.lateStartsOnDraining;
    }
    const Duration time = std::chrono::duration_cast<Duration>(request.slotTime * slowdown(server));
    m_events.after(time, [this, attempt] {
        Attempt &done = m_attempts[attempt];
        Server &executing = m_servers[done.server];
        if (done.ended || executing.incarnation != done.incarnation) {
            return;
        }
        accumulateBusyTime(executing);
        const AdmissionEffects effects = executing.queue->finish(m_events.now(), static_cast<std::uint64_t>(attempt));
        sendAnswer(attempt, ResultCode::Ok, {});
        applyEffects(done.server, effects);
    });
}

void PolicyRun::sendAnswer(int attempt, ResultCode code, Duration retryAfter)
{
    Attempt &answered = m_attempts[attempt];
    Server &server = m_servers[answered.server];
    answered.ended = true;
    if (m_policy.placement == Placement::Central) {
        --server.assignedRequests;
    }
    const LoadReport load = reportedLoad(server);
    const int balancer = randomBalancer();
    const std::uint32_t bytes = code == ResultCode::Ok ? m_requests[answered.request].kind->answerBytes : 150;
    const Duration delay = m_network.betweenZones(server.zone, m_balancers[balancer].zone, bytes) + m_network.toCaller(bytes);
    m_balancers[balancer].serverLoads[server.index] = load;
    m_events.after(delay, [this, attempt, code, retryAfter, load] {
        receiveAnswer(attempt, code, retryAfter, load);
    });
}

void PolicyRun::receiveAnswer(int attempt, ResultCode code, Duration retryAfter, const LoadReport &load)
{
    const Attempt &answered = m_attempts[attempt];
    const Request &request = m_requests[answered.request];
    Flow &flow = m_flows[answered.flow];
    --flow.outstanding;
    if (code != ResultCode::OutcomeUnknown) {
        flow.estimate.recordReport(m_events.now(), load);
    }
    if (isNotRun(code) && answered.started) {
        ++m_result.falseNotRun;
    }
    if (code == ResultCode::Ok) {
        flow.estimate.recordAnswer(request.kind->workClass, m_events.now() - request.submittedAt);
        endRequest(answered.request, code);
        return;
    }
    retryRequest(answered.request, code, retryAfter, attempt, load.running + load.queued);
}

void PolicyRun::retryRequest(int request, ResultCode code, Duration retryAfter, int attempt, double work)
{
    Request &retried = m_requests[request];
    const RetryRule rule = retryRule(code, retried.kind->idempotent);
    if (rule == RetryRule::Never || retried.attempts >= maxAttempts || m_events.now() + retryAfter >= retried.deadline) {
        endRequest(request, code);
        return;
    }
    std::vector<int> others = usableFlows(retried.caller, m_attempts[attempt].flow);
    const int moveTo = m_attempts[attempt].moveTo;
    if (moveTo >= 0) {
        std::erase_if(others, [&](int flow) {
            return m_flows[flow].server != moveTo;
        });
    }
    if (rule == RetryRule::OtherServer && !retried.moved && !others.empty()) {
        retried.moved = true;
        sendAttempt(request, others[m_random() % others.size()], false, work, m_attempts[attempt].server);
        return;
    }
    RetryBudget &budget = m_callers[retried.caller].budget;
    if (!budget.tryTakeToken()) {
        endRequest(request, code);
        return;
    }
    m_events.after(budget.delay(retried.attempts, retryAfter, m_random), [this, request] {
        dispatchRequest(request);
    });
}

void PolicyRun::endRequest(int request, ResultCode code)
{
    m_requests[request].ended = true;
    const Request &current = m_requests[request];
    const int customer = m_callers[current.caller].customer;
    if (code != ResultCode::Ok) {
        ++(isNotRun(code) ? m_result.refusedRequests : m_result.unknownOutcomes);
        return;
    }
    if (m_events.now() > current.deadline) {
        return;
    }
    if (current.fairnessCounted) {
        m_servedSeconds[current.service][customer] += toSeconds(current.slotTime);
    }
    if (current.submittedAt >= TimePoint{} + 40s) {
        const double milliseconds = toSeconds(m_events.now() - current.submittedAt) * 1000;
        m_latenciesMs.push_back(milliseconds);
        if (customer >= customerCount / 2) {
            m_smallCustomerLatenciesMs.push_back(milliseconds);
        }
    }
}

int PolicyRun::serverWithFewestAssignedRequests(int service)
{
    std::vector<int> best;
    for (const Server &server : m_servers) {
        if (!isServing(server) || server.service != service) {
            continue;
        }
        if (!best.empty() && server.assignedRequests < m_servers[best.front()].assignedRequests) {
            best.clear();
        }
        if (best.empty() || server.assignedRequests == m_servers[best.front()].assignedRequests) {
            best.push_back(server.index);
        }
    }
    return best[m_random() % best.size()];
}

}

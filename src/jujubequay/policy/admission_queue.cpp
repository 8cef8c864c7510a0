#include <jujubequay/policy/admission_queue.h>

#include <jujubequay/core/invariant.h>

#include <algorithm>
#include <limits>

namespace Jujubequay {

namespace {

/// Share of the latest measurement in the moving average of the slot time.
constexpr double slotTimeSmoothing = 1.0 / 16;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::size_t classIndex(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

}

bool AdmissionQueue::CustomerOrder::operator()(const std::pair<double, const Customer *> &left, const std::pair<double, const Customer *> &right) const
{
    return left.first != right.first ? left.first < right.first : left.second->number < right.second->number;
}

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : m_options(std::move(options))
{
    m_slotSeconds.fill(toSeconds(m_options.initialSlotTime));
}

AdmissionEffects AdmissionQueue::submit(TimePoint now, const AdmissionRequest &request)
{
    checkInvariant(!m_entries.contains(request.id), "a request is submitted once");
    AdmissionEffects effects;
    refuseTimedOut(now, effects);
    if (const auto refused = refusal(now, request)) {
        effects.emplace_back(*refused);
        return effects;
    }
    Customer &customer = customerOf(request.customer);
    if (request.workClass == WorkClass::Feed) {
        effects.emplace_back(submitFeed(request, customer));
        return effects;
    }
    if (m_running >= m_options.slots && m_queued >= m_options.queueLimit) {
        const RefuseRequest refused = displaceWaitingRequest(request.id, customer, request.workClass);
        effects.emplace_back(refused);
        if (refused.id == request.id) {
            return effects;
        }
    }
    enqueue(now, request, customer);
    startWaiting(now, effects);
    return effects;
}

AdmissionEffects AdmissionQueue::finish(TimePoint now, std::uint64_t id)
{
    const auto found = m_entries.find(id);
    checkInvariant(found != m_entries.end() && found->second.state == State::Running, "only a started request finishes");
    const Entry entry = found->second;
    m_entries.erase(found);
    --entry.customer->running;
    if (entry.workClass == WorkClass::Feed) {
        --m_feeds;
        return {};
    }
    checkInvariant(m_running > 0, "a finished request held a slot");
    --m_running;
    const double seconds = std::max(0.0, toSeconds(now - entry.startedAt));
    double &average = m_slotSeconds[classIndex(entry.workClass)];
    average += (seconds - average) * slotTimeSmoothing;
    setVirtualTime(*entry.customer, entry.customer->virtualTime + (seconds - entry.chargedSeconds) / entry.customer->weight);

    AdmissionEffects effects;
    refuseTimedOut(now, effects);
    startWaiting(now, effects);
    return effects;
}

AdmissionEffects AdmissionQueue::cancel(TimePoint now, std::uint64_t id)
{
    AdmissionEffects effects;
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.state == State::Queued) {
        effects.emplace_back(refuseQueued(id, ResultCode::NotRunCancelled, {}));
    }
    refuseTimedOut(now, effects);
    return effects;
}

AdmissionEffects AdmissionQueue::tick(TimePoint now)
{
    AdmissionEffects effects;
    refuseTimedOut(now, effects);
    removeIdleCustomers();
    return effects;
}

AdmissionEffects AdmissionQueue::configure(TimePoint now, AdmissionOptions options)
{
    m_options = std::move(options);
    for (auto &[name, customer] : m_customers) {
        setWeight(*customer, weightOf(name));
    }
    AdmissionEffects effects;
    startWaiting(now, effects);
    return effects;
}

AdmissionEffects AdmissionQueue::drain(TimePoint)
{
    m_draining = true;
    AdmissionEffects effects;
    while (!m_timeouts.empty()) {
        effects.emplace_back(refuseQueued(m_timeouts.begin()->second, ResultCode::NotRunMoved, {}));
    }
    checkInvariant(m_queued == 0, "a draining server has no waiting requests");
    return effects;
}

std::optional<TimePoint> AdmissionQueue::nextTimeout() const
{
    return m_timeouts.empty() ? std::nullopt : std::optional(m_timeouts.begin()->first);
}

LoadReport AdmissionQueue::load() const
{
    return {.running = m_running, .queued = m_queued, .flows = m_feeds};
}

bool AdmissionQueue::isDraining() const
{
    return m_draining;
}

Duration AdmissionQueue::expectedWait(const std::string &customer, WorkClass workClass) const
{
    return expectedWait(findCustomer(customer), workClass);
}

Duration AdmissionQueue::expectedWait(const Customer *customer, WorkClass workClass) const
{
    if (workClass == WorkClass::Feed || m_running < m_options.slots) {
        return {};
    }
    double secondsAhead = 0;
    for (std::size_t index = 0; index <= classIndex(workClass); ++index) {
        secondsAhead += m_queuedSeconds[index];
    }
    // The customer's share of the slots limits its wait, however many requests of other customers are queued.
    const double fairShareBound = customer && customer->queued > 0 ? customer->queuedSeconds * m_backlogWeight / customer->weight : 0;
    double meanSlotSeconds = 0;
    for (const double seconds : m_slotSeconds) {
        meanSlotSeconds += seconds / slotClasses;
    }
    return toDuration((meanSlotSeconds + std::min(secondsAhead, fairShareBound)) / m_options.slots);
}

AdmissionQueue::Customer &AdmissionQueue::customerOf(const std::string &name)
{
    auto &customer = m_customers[name];
    if (!customer) {
        customer = std::make_unique<Customer>();
        customer->number = ++m_customerNumber;
        customer->virtualTime = m_virtualTime;
        customer->weight = weightOf(name);
    }
    return *customer;
}

double AdmissionQueue::weightOf(const std::string &name) const
{
    const auto weight = m_options.customerWeights.find(name);
    return weight == m_options.customerWeights.end() ? 1 : std::max<std::uint32_t>(weight->second, 1);
}

void AdmissionQueue::setWeight(Customer &customer, double weight)
{
    if (customer.queued > 0) {
        m_byQueueLength.erase({customer.queued / customer.weight, &customer});
        m_backlogWeight += weight - customer.weight;
        m_byQueueLength.emplace(customer.queued / weight, &customer);
    }
    customer.weight = weight;
}

const AdmissionQueue::Customer *AdmissionQueue::findCustomer(const std::string &name) const
{
    const auto found = m_customers.find(name);
    return found == m_customers.end() ? nullptr : found->second.get();
}

void AdmissionQueue::removeIdleCustomers()
{
    const bool tooMany = m_customers.size() > m_options.maxIdleCustomers;
    std::erase_if(m_customers, [&](const auto &item) {
        const Customer &customer = *item.second;
        const bool isIdle = customer.queued == 0 && customer.running == 0;
        return isIdle && (tooMany || customer.virtualTime <= m_virtualTime);
    });
}

AdmissionEffect AdmissionQueue::submitFeed(const AdmissionRequest &request, Customer &customer)
{
    if (m_feeds >= m_options.maxFeeds) {
        return RefuseRequest{request.id, ResultCode::NotRunOverloaded, std::chrono::seconds(1)};
    }
    ++m_feeds;
    ++customer.running;
    m_entries[request.id] = {.state = State::Running, .workClass = request.workClass, .customer = &customer};
    return StartRequest{request.id};
}

std::optional<RefuseRequest> AdmissionQueue::refusal(TimePoint now, const AdmissionRequest &request) const
{
    if (m_draining) {
        return RefuseRequest{request.id, ResultCode::NotRunMoved, {}};
    }
    if (shouldMove(request)) {
        return RefuseRequest{request.id, ResultCode::NotRunMoved, {}};
    }
    const Duration wait = expectedWait(request.customer, request.workClass);
    if (request.deadline && now + wait >= *request.deadline) {
        return RefuseRequest{request.id, ResultCode::NotRunDeadline, wait};
    }
    return std::nullopt;
}

bool AdmissionQueue::shouldMove(const AdmissionRequest &request) const
{
    if (!request.canMove || request.workClass == WorkClass::Feed) {
        return false;
    }
    const std::uint32_t work = m_running + m_queued;
    return request.otherServerWork ? work > *request.otherServerWork + m_options.moveMargin : work >= m_options.slots;
}

RefuseRequest AdmissionQueue::displaceWaitingRequest(std::uint64_t newId, const Customer &customer, WorkClass workClass)
{
    if (m_byQueueLength.empty()) {
        return RefuseRequest{newId, ResultCode::NotRunOverloaded, expectedWait(&customer, workClass)};
    }
    const auto longest = std::prev(m_byQueueLength.end());
    Customer &victim = *longest->second;
    if ((customer.queued + 1) / customer.weight >= longest->first) {
        // The new request may still displace a request of the same customer in a lower class.
        std::size_t lowest = slotClasses - 1;
        while (lowest > classIndex(workClass) && customer.waiting[lowest].empty()) {
            --lowest;
        }
        if (&customer != &victim || lowest == classIndex(workClass)) {
            return RefuseRequest{newId, ResultCode::NotRunOverloaded, expectedWait(&customer, workClass)};
        }
    }
    for (std::size_t index = slotClasses; index-- > 0;) {
        if (!victim.waiting[index].empty()) {
            const Duration retryAfter = expectedWait(&victim, static_cast<WorkClass>(index));
            return refuseQueued(victim.waiting[index].back(), ResultCode::NotRunOverloaded, retryAfter);
        }
    }
    checkInvariant(false, "a customer with a queue has a waiting request");
    return {};
}

void AdmissionQueue::enqueue(TimePoint now, const AdmissionRequest &request, Customer &customer)
{
    const std::size_t index = classIndex(request.workClass);
    Entry entry{.workClass = request.workClass, .customer = &customer, .deadline = request.deadline, .timeoutAt = now + m_options.queueTimeout};
    if (request.deadline) {
        entry.timeoutAt = std::min(entry.timeoutAt, *request.deadline);
    }
    entry.chargedSeconds = m_slotSeconds[index];

    if (customer.queued == 0) {
        // A customer gets no credit for capacity that it did not use earlier.
        customer.virtualTime = std::max(customer.virtualTime, m_virtualTime);
        m_backlogWeight += customer.weight;
    } else {
        m_byQueueLength.erase({customer.queued / customer.weight, &customer});
    }
    if (customer.waiting[index].empty()) {
        m_byVirtualTime[index].emplace(customer.virtualTime, &customer);
    }
    customer.waiting[index].push_back(request.id);
    customer.queuedSeconds += entry.chargedSeconds;
    ++customer.queued;
    ++m_queued;
    m_queuedSeconds[index] += entry.chargedSeconds;
    m_byQueueLength.emplace(customer.queued / customer.weight, &customer);
    m_timeouts.emplace(entry.timeoutAt, request.id);
    m_entries.emplace(request.id, entry);
}

void AdmissionQueue::dequeue(std::uint64_t id, Entry &entry)
{
    checkInvariant(entry.state == State::Queued, "a request leaves the queue once");
    const std::size_t index = classIndex(entry.workClass);
    Customer &customer = *entry.customer;
    auto &waiting = customer.waiting[index];
    waiting.erase(std::find(waiting.begin(), waiting.end(), id));
    m_byQueueLength.erase({customer.queued / customer.weight, &customer});
    m_timeouts.erase({entry.timeoutAt, id});
    customer.queuedSeconds -= entry.chargedSeconds;
    m_queuedSeconds[index] -= entry.chargedSeconds;
    --customer.queued;
    --m_queued;
    if (waiting.empty()) {
        m_byVirtualTime[index].erase({customer.virtualTime, &customer});
    }
    if (customer.queued == 0) {
        m_backlogWeight -= customer.weight;
        customer.queuedSeconds = 0;
    } else {
        m_byQueueLength.emplace(customer.queued / customer.weight, &customer);
    }
    if (m_byVirtualTime[index].empty()) {
        m_classCredit[index] = 0;
        m_queuedSeconds[index] = 0;
    }
}

void AdmissionQueue::start(TimePoint now, std::uint64_t id)
{
    Entry &entry = m_entries.at(id);
    const std::size_t index = classIndex(entry.workClass);
    m_virtualTime = std::max(m_virtualTime, lowestVirtualTime());
    dequeue(id, entry);
    creditLowerClasses(index);
    entry.state = State::Running;
    entry.startedAt = now;
    entry.chargedSeconds = m_slotSeconds[index];
    setVirtualTime(*entry.customer, entry.customer->virtualTime + entry.chargedSeconds / entry.customer->weight);
    ++entry.customer->running;
    ++m_running;
    checkInvariant(m_running <= m_options.slots, "no more requests run than there are slots");
}

void AdmissionQueue::startWaiting(TimePoint now, AdmissionEffects &effects)
{
    while (m_running < m_options.slots && m_queued > 0) {
        const std::size_t index = nextClass();
        const std::uint64_t id = m_byVirtualTime[index].begin()->second->waiting[index].front();
        start(now, id);
        effects.emplace_back(StartRequest{id});
    }
}

void AdmissionQueue::refuseTimedOut(TimePoint now, AdmissionEffects &effects)
{
    while (!m_timeouts.empty() && m_timeouts.begin()->first <= now) {
        const std::uint64_t id = m_timeouts.begin()->second;
        const Entry &entry = m_entries.at(id);
        const bool missedDeadline = entry.deadline && *entry.deadline <= now;
        const Duration retryAfter = expectedWait(entry.customer, entry.workClass);
        effects.emplace_back(refuseQueued(id, missedDeadline ? ResultCode::NotRunDeadline : ResultCode::NotRunOverloaded, retryAfter));
    }
}

RefuseRequest AdmissionQueue::refuseQueued(std::uint64_t id, ResultCode code, Duration retryAfter)
{
    const auto found = m_entries.find(id);
    dequeue(id, found->second);
    m_entries.erase(found);
    return {id, code, retryAfter};
}

std::size_t AdmissionQueue::nextClass() const
{
    const double limit = lowestVirtualTime() + toSeconds(m_options.priorityBurst);
    const auto isEligible = [&](std::size_t index) {
        return !m_byVirtualTime[index].empty() && m_byVirtualTime[index].begin()->first <= limit;
    };
    for (std::size_t index = slotClasses; index-- > 1;) {
        if (isEligible(index) && m_classCredit[index] >= m_slotSeconds[index]) {
            return index;
        }
    }
    for (std::size_t index = 0; index < slotClasses; ++index) {
        if (isEligible(index)) {
            return index;
        }
    }
    checkInvariant(false, "the least served customer is always eligible");
    return 0;
}

void AdmissionQueue::creditLowerClasses(std::size_t startedClass)
{
    m_classCredit[startedClass] = std::max(0.0, m_classCredit[startedClass] - m_slotSeconds[startedClass]);
    for (std::size_t index = startedClass + 1; index < slotClasses; ++index) {
        if (!m_byVirtualTime[index].empty()) {
            m_classCredit[index] += m_options.lowerClassShare * m_slotSeconds[startedClass];
        }
    }
}

void AdmissionQueue::setVirtualTime(Customer &customer, double virtualTime)
{
    for (std::size_t index = 0; index < slotClasses; ++index) {
        if (!customer.waiting[index].empty()) {
            m_byVirtualTime[index].erase({customer.virtualTime, &customer});
            m_byVirtualTime[index].emplace(virtualTime, &customer);
        }
    }
    customer.virtualTime = virtualTime;
}

double AdmissionQueue::lowestVirtualTime() const
{
    double lowest = std::numeric_limits<double>::max();
    for (const CustomerSet &customers : m_byVirtualTime) {
        if (!customers.empty()) {
            lowest = std::min(lowest, customers.begin()->first);
        }
    }
    return lowest;
}

}

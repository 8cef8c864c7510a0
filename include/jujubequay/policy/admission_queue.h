#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/core/result_code.h>
#include <jujubequay/policy/load_estimate.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Jujubequay {

struct AdmissionOptions {
    std::uint32_t slots = 3;
    std::uint32_t queueLimit = 64; ///< requests that wait for a slot
    std::uint32_t maxFeeds = 2000;
    Duration queueTimeout = std::chrono::seconds(10); ///< longest wait for a slot
    std::map<std::string, std::uint32_t> customerWeights; ///< customers that are not named have weight 1
    /// A request is moved if this server has more work than the caller's other server by more than this, in requests. Half
    /// a request keeps small differences that come from the age of the figures from causing a round trip. Without figures
    /// of the other server, a request is moved if no slot is free.
    double moveMargin = 0.5;
    /// Slot time that a customer of weight 1 may use ahead of the least served one before its critical work loses
    /// precedence over the work of others. Without a bound, a flood of critical work would take all slots.
    Duration priorityBurst = std::chrono::milliseconds(500);
    double lowerClassShare = 0.1; ///< least share of slot time for a waiting lower class
    Duration initialSlotTime = std::chrono::milliseconds(100); ///< assumed for a class before the first measurement
    std::size_t maxIdleCustomers = 4096; ///< customers without work whose use of slots is remembered
};

struct AdmissionRequest {
    std::uint64_t id = 0; ///< chosen by the agent; not reused while the request is known
    std::string customer;
    WorkClass workClass = WorkClass::Interactive;
    std::optional<TimePoint> deadline;
    bool canMove = false; ///< the caller holds a flow to another server and may be sent there
    std::optional<double> otherWork; ///< running and queued work at that server, as far as known
};

/// The request must be started now. Its outcome is the later call of AdmissionQueue::finished.
struct StartRequest {
    std::uint64_t id = 0;
    bool operator==(const StartRequest &) const = default;
};

/// The request was not started and never will be.
struct RefuseRequest {
    std::uint64_t id = 0;
    ResultCode code = ResultCode::NotRunOverloaded;
    Duration retryAfter{}; ///< zero for a move to another server
    bool operator==(const RefuseRequest &) const = default;
};

using AdmissionEffect = std::variant<StartRequest, RefuseRequest>;
using AdmissionEffects = std::vector<AdmissionEffect>;

/// Decides which requests run in the slots of one backend server.
///
/// Customers share slot time by weight (start-time fair queueing with the measured slot time of requests). Among customers
/// that are not ahead of their share, critical work goes before interactive work and that before bulk work; a waiting lower
/// class keeps a small share. Feeds start at once and hold no slot. Each submitted request gets exactly one outcome: a
/// refusal, or a start followed by finished().
///
///     for (const AdmissionEffect &effect : queue.submit(now, request)) {
///         std::visit(visitor, effect);
///     }
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionOptions options = {});

    AdmissionEffects submit(TimePoint now, const AdmissionRequest &request);
    /// A started request has ended and released its slot, also after a cancellation.
    AdmissionEffects finished(TimePoint now, std::uint64_t id);
    /// The caller has given up. A waiting request is refused; a running one keeps its slot until finished(). Unknown
    /// requests are ignored, because a cancellation may cross the answer.
    AdmissionEffects cancelled(TimePoint now, std::uint64_t id);
    /// Refuses requests that have waited too long. Due at nextTimeout().
    AdmissionEffects tick(TimePoint now);
    /// Refuses all waiting work and all new work with NotRunMoved; running work continues.
    AdmissionEffects drain(TimePoint now);
    /// Uses other limits and weights from now on. Requests beyond a lower limit keep their slot or place.
    AdmissionEffects configure(TimePoint now, AdmissionOptions options);

    std::optional<TimePoint> nextTimeout() const;
    /// Running and queued requests and open feeds; the agent adds its other flows.
    LoadReport load() const;
    bool isDraining() const;
    /// Expected wait for a slot of a request submitted now.
    Duration expectedWait(const std::string &customer, WorkClass workClass) const;

private:
    static constexpr std::size_t slotClasses = 3;

    enum class State : std::uint8_t { Queued, Running };

    struct Customer {
        std::uint64_t number = 0; ///< order of first appearance, breaks ties
        double weight = 1;
        double used = 0; ///< virtual time: slot seconds per weight
        double queuedSeconds = 0;
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
        std::array<std::deque<std::uint64_t>, slotClasses> waiting;
    };

    struct Entry {
        State state = State::Queued;
        WorkClass workClass = WorkClass::Interactive;
        Customer *customer = nullptr;
        std::optional<TimePoint> deadline;
        TimePoint timeoutAt{};
        TimePoint startedAt{};
        double chargedSeconds = 0;
    };

    struct CustomerOrder {
        bool operator()(const std::pair<double, const Customer *> &left, const std::pair<double, const Customer *> &right) const;
    };
    using CustomerSet = std::set<std::pair<double, Customer *>, CustomerOrder>;

    Customer &customerOf(const std::string &name);
    double weightOf(const std::string &name) const;
    void setWeight(Customer &customer, double weight);
    const Customer *findCustomer(const std::string &name) const;
    void removeIdleCustomers();

    AdmissionEffect submitFeed(const AdmissionRequest &request, Customer &customer);
    std::optional<RefuseRequest> refusal(TimePoint now, const AdmissionRequest &request) const;
    /// Makes room in a full queue; returns the refusal of the new request or of the one that gives way.
    bool shouldMove(const AdmissionRequest &request) const;
    RefuseRequest makeRoom(std::uint64_t newId, const Customer &customer, WorkClass workClass);
    void enqueue(TimePoint now, const AdmissionRequest &request, Customer &customer);
    void dequeue(std::uint64_t id, Entry &entry);
    void start(TimePoint now, std::uint64_t id);
    void startWaiting(TimePoint now, AdmissionEffects &effects);
    void refuseOverdue(TimePoint now, AdmissionEffects &effects);
    RefuseRequest refuseQueued(std::uint64_t id, ResultCode code, Duration retryAfter);
    std::size_t nextClass() const;
    void creditLowerClasses(std::size_t startedClass);
    void setUsed(Customer &customer, double used);
    double lowestUsed() const;
    Duration expectedWait(const Customer *customer, WorkClass workClass) const;

    AdmissionOptions m_options;
    std::unordered_map<std::string, std::unique_ptr<Customer>> m_customers;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::array<CustomerSet, slotClasses> m_byUse; ///< customers with waiting work of a class, least served first
    CustomerSet m_byQueue; ///< customers with waiting work, by queue length per weight
    std::set<std::pair<TimePoint, std::uint64_t>> m_timeouts;
    std::array<double, slotClasses> m_slotSeconds{}; ///< moving average for each class
    std::array<double, slotClasses> m_credit{}; ///< slot seconds due to a waiting lower class
    std::array<double, slotClasses> m_queuedSeconds{};
    double m_backlogWeight = 0; ///< weights of customers with waiting work
    double m_virtualTime = 0;
    std::uint64_t m_customerNumber = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint32_t m_feeds = 0;
    bool m_draining = false;
};

}

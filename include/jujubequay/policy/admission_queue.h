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
    std::uint32_t slots = 3; ///< requests that run at the same time
    std::uint32_t queueLimit = 64; ///< largest number of waiting requests
    std::uint32_t maxFeeds = 2000; ///< largest number of open feeds
    Duration queueTimeout = std::chrono::seconds(10); ///< longest wait for a slot
    std::map<std::string, std::uint32_t> customerWeights; ///< weights by customer; customers that are not listed have weight 1
    /// A request is moved if this server has more work than the caller's other server by more than this number of requests. The
    /// margin avoids moves, which cost a round trip, for small differences that stem from outdated load figures. If the load of
    /// the other server is unknown, a request is moved if no slot is free.
    double moveMargin = 0.5;
    /// Slot time that a customer of weight 1 may use in excess of the least served one before its critical requests lose
    /// precedence over the requests of others. Without a bound, a flood of critical requests would occupy all slots.
    Duration priorityBurst = std::chrono::milliseconds(500);
    double lowerClassShare = 0.1; ///< smallest share of slot time for a lower class with waiting requests
    Duration initialSlotTime = std::chrono::milliseconds(100); ///< slot time assumed for a class before the first measurement
    std::size_t maxIdleCustomers = 4096; ///< with more customers than this, the records of customers without requests are removed
};

struct AdmissionRequest {
    std::uint64_t id = 0; ///< assigned by the agent and unique among the requests in the queue or in slots
    std::string customer;
    WorkClass workClass = WorkClass::Interactive;
    std::optional<TimePoint> deadline;
    bool canMove = false; ///< the caller has a flow to another server, so the request may be moved there
    std::optional<double> otherServerWork; ///< running and queued requests at that server; empty if unknown
};

/// The request must be started now. AdmissionQueue::finish must be called when it has ended.
struct StartRequest {
    std::uint64_t id = 0;
    bool operator==(const StartRequest &) const = default;
};

/// The request was not started and must not be started.
struct RefuseRequest {
    std::uint64_t id = 0;
    ResultCode code = ResultCode::NotRunOverloaded;
    Duration retryAfter{}; ///< shortest delay before a retry; zero for a move to another server
    bool operator==(const RefuseRequest &) const = default;
};

using AdmissionEffect = std::variant<StartRequest, RefuseRequest>;
using AdmissionEffects = std::vector<AdmissionEffect>;

/// Decides which requests run in the slots of one backend server.
///
/// Customers share slot time by weight (start-time fair queueing with the measured slot time of requests). Among customers
/// that have not exceeded their share, critical requests start before interactive ones, and these before bulk ones. A lower class
/// with waiting requests keeps a small share. Feeds start at once and occupy no slot. Each submitted request gets exactly one
/// outcome: a refusal, or a start followed by finish().
///
///     for (const AdmissionEffect &effect : queue.submit(now, request)) {
///         std::visit(visitor, effect);
///     }
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionOptions options = {});

    /// Adds a request. The effects may start or refuse it, and may refuse others.
    AdmissionEffects submit(TimePoint now, const AdmissionRequest &request);
    /// Releases the slot of a started request that has ended or was cancelled.
    AdmissionEffects finish(TimePoint now, std::uint64_t id);
    /// The caller has cancelled a request. A waiting request is refused, a running one keeps its slot until finish(). Unknown
    /// requests are ignored, because a request may end while its cancellation is on the way.
    AdmissionEffects cancel(TimePoint now, std::uint64_t id);
    /// Refuses requests that have waited too long. Call it at nextTimeout().
    AdmissionEffects tick(TimePoint now);
    /// Refuses all waiting and all new requests with NotRunMoved. Running requests continue.
    AdmissionEffects drain(TimePoint now);
    /// Replaces the limits and weights. Requests beyond a lowered limit keep their slot or their place in the queue.
    AdmissionEffects configure(TimePoint now, AdmissionOptions options);

    /// The next deadline or queue timeout of a waiting request; empty if none waits.
    std::optional<TimePoint> nextTimeout() const;
    /// Running and queued requests, and open feeds as `flows`.
    LoadReport load() const;
    bool isDraining() const;
    /// Expected time that a request would wait for a slot if it were submitted now.
    Duration expectedWait(const std::string &customer, WorkClass workClass) const;

private:
    static constexpr std::size_t slotClasses = 3;

    enum class State : std::uint8_t { Queued, Running };

    struct Customer {
        std::uint64_t number = 0; ///< order of the first request; breaks ties
        double weight = 1;
        double virtualTime = 0; ///< used slot time divided by weight, in seconds
        double queuedSeconds = 0; ///< expected slot time of the waiting requests
        std::uint32_t queued = 0;
        std::uint32_t running = 0;
        std::array<std::deque<std::uint64_t>, slotClasses> waiting;
    };

    struct Entry {
        State state = State::Queued;
        WorkClass workClass = WorkClass::Interactive;
        Customer *customer = nullptr;
        std::optional<TimePoint> deadline;
        TimePoint timeoutAt{}; ///< end of the queue timeout, or the deadline if that is earlier
        TimePoint startedAt{};
        double chargedSeconds = 0; ///< expected slot time, added to the customer's virtual time at the start
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
    bool shouldMove(const AdmissionRequest &request) const;
    /// Called when the queue is full. Refuses either the new request or a waiting request that it displaces.
    RefuseRequest displaceWaitingRequest(std::uint64_t newId, const Customer &customer, WorkClass workClass);
    void enqueue(TimePoint now, const AdmissionRequest &request, Customer &customer);
    void dequeue(std::uint64_t id, Entry &entry);
    void start(TimePoint now, std::uint64_t id);
    void startWaiting(TimePoint now, AdmissionEffects &effects);
    void refuseTimedOut(TimePoint now, AdmissionEffects &effects);
    RefuseRequest refuseQueued(std::uint64_t id, ResultCode code, Duration retryAfter);
    std::size_t nextClass() const;
    void creditLowerClasses(std::size_t startedClass);
    void setVirtualTime(Customer &customer, double virtualTime);
    double lowestVirtualTime() const;
    Duration expectedWait(const Customer *customer, WorkClass workClass) const;

    AdmissionOptions m_options;
    std::unordered_map<std::string, std::unique_ptr<Customer>> m_customers;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::array<CustomerSet, slotClasses> m_byVirtualTime; ///< for each class, the customers with waiting requests by virtual time
    CustomerSet m_byQueueLength; ///< customers with waiting requests, by queue length divided by weight
    std::set<std::pair<TimePoint, std::uint64_t>> m_timeouts; ///< timeouts of the waiting requests, with their identifiers
    std::array<double, slotClasses> m_slotSeconds{}; ///< moving average of the slot time of each class
    std::array<double, slotClasses> m_classCredit{}; ///< slot time that each lower class with waiting requests is entitled to, in seconds
    std::array<double, slotClasses> m_queuedSeconds{}; ///< expected slot time of the waiting requests of each class
    double m_backlogWeight = 0; ///< sum of the weights of the customers with waiting requests
    double m_virtualTime = 0; ///< virtual time of the queue: the lowest one of the waiting customers at the latest start; never decreases
    std::uint64_t m_customerNumber = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint32_t m_feeds = 0;
    bool m_draining = false;
};

}

#pragma once

#include <jujubequay/control/operation_log.h>
#include <jujubequay/core/error.h>
#include <jujubequay/core/identifiers.h>
#include <jujubequay/wire/framing.h>

#include <control.pb.h>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Jujubequay {

/// Balancers and agents that have connected to the control hosts, by the address at which they receive start notices.
using KnownHosts = std::map<std::string, jujubequay::pb::KnownHost>;

/// Replicated state of the control hosts: bundles, signers, flow keys, the route table, known hosts and the first answers to
/// operations. Deterministic: replicas that apply the same commands have byte-identical snapshots. Uses neither clocks nor random
/// numbers.
class ControlState
{
public:
    struct Options {
        std::size_t keptOperations = 16384; ///< number of first answers that are kept for resends
        std::size_t keptSuperseded = 16; ///< superseded bundles of each service that are kept for a roll back
        std::size_t maxPending = 32; ///< maximum number of proposed and signed bundles of each service
    };

    ControlState();
    explicit ControlState(Options options);

    /// Applies one serialized LoggedCommand. A refused command changes only the kept answers.
    jujubequay::pb::CommandAnswer apply(std::span<const std::uint8_t> loggedCommand);

    Bytes snapshot() const;
    /// Fails with DiskDamaged if the bytes are not a snapshot or the state violates an invariant.
    static Result<ControlState> restore(std::span<const std::uint8_t> snapshot, Options options);

    /// Number of rolls, roll backs and replaced route tables so far.
    std::uint64_t revision() const;
    /// Number of changes of flow keys so far.
    std::uint64_t flowKeyRevision() const;
    /// Number of operations applied so far, for `Command.operations_seen`.
    std::uint64_t operationsApplied() const;
    /// Identifier of a service, 0 if the service is unknown.
    ServiceId serviceId(const std::string &service) const;

    /// Configuration that took effect after the given revisions, limited to `services`; an empty set means all services.
    jujubequay::pb::ConfigDelta configAfter(std::uint64_t revision, std::uint64_t flowKeyRevision, const std::set<std::string> &services) const;
    /// True if the bundle in force of the service permits a backend server with this name.
    bool mayAnnounce(const std::string &service, const std::string &serverName) const;
    std::vector<std::uint32_t> flowKeyNumbers() const;
    /// Route table in force and the operator's document that describes it; version 0 before the first one.
    const jujubequay::pb::ReplaceRoutes &routes() const;
    const KnownHosts &knownHosts() const;
    /// Adds services, bundles, signers and flow keys to a status, without the secrets of the keys.
    void fillStatus(jujubequay::pb::StatusAnswer &status) const;

private:
    using Answer = jujubequay::pb::CommandAnswer;

    struct Service {
        ServiceId id;
        std::uint64_t droppedVersion = 0;
        std::uint64_t versionInForce = 0;
        std::uint64_t revision = 0;
        std::map<std::uint64_t, jujubequay::pb::Bundle> bundles;
    };
    using SignerName = std::pair<std::string, std::string>; // service name or "*", name of the signer

    Answer execute(const jujubequay::pb::LoggedCommand &logged, const jujubequay::pb::Command &command);
    Answer propose(const jujubequay::pb::ProposeBundle &command, const std::string &operatorName);
    Answer sign(const jujubequay::pb::SignBundle &command);
    Answer roll(const jujubequay::pb::RollBundle &command, const std::string &operatorName);
    Answer setSigner(const jujubequay::pb::SetSigner &command);
    Answer addFlowKey(const jujubequay::pb::AddFlowKey &command);
    Answer activateFlowKey(const jujubequay::pb::ActivateFlowKey &command, const jujubequay::pb::LoggedCommand &logged);
    Answer retireFlowKey(const jujubequay::pb::RetireFlowKey &command, const jujubequay::pb::LoggedCommand &logged);

    Answer replaceRoutes(const jujubequay::pb::ReplaceRoutes &command);
    Answer changeKnownHosts(const jujubequay::pb::ChangeKnownHosts &command);

    Answer checkVersion(const Service &service, const jujubequay::pb::BundleContent &content) const;
    Answer checkRoll(const std::string &name, const Service &service, const jujubequay::pb::RollBundle &command) const;
    Answer checkAddressConflicts(const std::string &name, const jujubequay::pb::Bundle &bundle) const;
    void putInForce(Service &service, std::uint64_t version, const std::string &operatorName);
    void dropOldBundles(Service &service) const;
    const std::string *signerKey(const std::string &service, const std::string &signer) const;
    bool isSignedByCurrentSigner(const std::string &service, const jujubequay::pb::Bundle &bundle) const;
    jujubequay::pb::ServiceConfig configOf(const std::string &name, const Service &service) const;
    bool holdsInvariants() const;
    Answer accepted() const;

    Options m_options;
    std::uint64_t m_revision = 0;
    std::uint16_t m_lastServiceId = 0;
    std::map<std::string, Service> m_services;
    std::map<SignerName, std::string> m_signers; // public key by service and signer
    std::uint64_t m_flowKeyRevision = 0;
    std::map<std::uint32_t, jujubequay::pb::FlowKeyEntry> m_flowKeys;
    jujubequay::pb::ReplaceRoutes m_routes;
    std::uint64_t m_routesRevision = 0;
    KnownHosts m_knownHosts;
    OperationLog m_operations;
};

}

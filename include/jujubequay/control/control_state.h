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

/// Balancers and agents that the control hosts have heard of, by the address that takes datagrams.
using KnownHosts = std::map<std::string, jujubequay::pb::KnownHost>;

/// The replicated state of the control hosts: bundles, signers, flow keys and first answers. Deterministic: replicas
/// that apply the same commands are equal, byte for byte in their snapshots. Uses neither time nor random numbers.
class ControlState
{
public:
    struct Options {
        std::size_t keptOperations = 16384; ///< first answers that are kept for resends
        std::size_t keptSuperseded = 16; ///< bundles of each service that can be rolled back to
        std::size_t maxPending = 32; ///< proposed and signed bundles of each service
    };

    ControlState();
    explicit ControlState(Options options);

    /// Applies one serialized LoggedCommand. A refused command changes nothing but the kept answers.
    jujubequay::pb::CommandAnswer apply(std::span<const std::uint8_t> loggedCommand);

    Bytes snapshot() const;
    /// Fails with DiskDamaged if the bytes are not a snapshot or break an invariant.
    static Result<ControlState> restore(std::span<const std::uint8_t> snapshot, Options options);

    /// Number of rolls and roll backs so far.
    std::uint64_t revision() const;
    /// Number of changes of flow keys so far.
    std::uint64_t flowKeyRevision() const;
    /// For `Command.operations_seen`.
    std::uint64_t operationsApplied() const;
    /// Number of a service, or 0 if it is not known.
    ServiceId serviceId(const std::string &service) const;

    /// What took effect after the given revisions; `services` limits it to the named ones, empty means all.
    jujubequay::pb::ConfigDelta configAfter(std::uint64_t revision, std::uint64_t flowKeyRevision, const std::set<std::string> &services) const;
    /// True if a backend server of this name may announce itself for the service in force.
    bool mayAnnounce(const std::string &service, const std::string &serverName) const;
    std::vector<std::uint32_t> flowKeyNumbers() const;
    /// The route table in force with the operator's document; version 0 before the first one.
    const jujubequay::pb::ReplaceRoutes &routes() const;
    const KnownHosts &knownHosts() const;
    /// Adds services, bundles, signers and flow keys (without secrets).
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
    using SignerName = std::pair<std::string, std::string>; // service or "*", signer

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

    Answer refuseVersion(const Service &service, const jujubequay::pb::BundleContent &content) const;
    Answer refuseRoll(const std::string &name, const Service &service, const jujubequay::pb::RollBundle &command) const;
    Answer refuseAddresses(const std::string &name, const jujubequay::pb::Bundle &bundle) const;
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
    std::map<SignerName, std::string> m_signers; // public keys
    std::uint64_t m_flowKeyRevision = 0;
    std::map<std::uint32_t, jujubequay::pb::FlowKeyEntry> m_flowKeys;
    jujubequay::pb::ReplaceRoutes m_routes;
    std::uint64_t m_routesRevision = 0;
    KnownHosts m_knownHosts;
    OperationLog m_operations;
};

}

#include <jujubequay/control/bundle.h>
#include <jujubequay/control/control_state.h>
#include <jujubequay/core/invariant.h>
#include <jujubequay/wire/flow_id.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <limits>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr std::size_t maxOperationId = 64;
constexpr std::size_t maxSignerName = 64;
constexpr std::size_t signerKeyLength = 32;
constexpr int maxSignatures = 16;
constexpr std::string_view everyService = "*";

pb::CommandAnswer refusal(ResultCode code, std::string detail)
{
    pb::CommandAnswer answer;
    answer.set_result(static_cast<std::uint32_t>(code));
    answer.set_detail(std::move(detail));
    return answer;
}

bool isAccepted(const pb::CommandAnswer &answer)
{
    return answer.result() == static_cast<std::uint32_t>(ResultCode::Ok);
}

pb::CommandAnswer conflict(std::string detail, const std::string &winner, const std::string &digest)
{
    pb::CommandAnswer answer = refusal(ResultCode::VersionConflict, std::move(detail));
    answer.set_winner(winner);
    answer.set_digest(digest);
    return answer;
}

bool isPending(const pb::Bundle &bundle)
{
    return bundle.state() == pb::BUNDLE_STATE_PROPOSED || bundle.state() == pb::BUNDLE_STATE_SIGNED;
}

// A resend is the same command of the same operator. The other fields of a LoggedCommand differ between control hosts.
std::string operationDigest(const pb::LoggedCommand &logged)
{
    return bundleDigest(logged.operator_name() + '\0' + logged.command());
}

bool isSignatureValid(const pb::Bundle &bundle, const pb::Signature &signature)
{
    return isBundleSignature(signature.public_key(), bundle.digest(), signature.signature());
}

}

ControlState::ControlState()
    : ControlState(Options())
{
}

ControlState::ControlState(Options options)
    : m_options(options)
    , m_operations(options.keptOperations)
{
}

pb::CommandAnswer ControlState::apply(std::span<const std::uint8_t> loggedCommand)
{
    pb::LoggedCommand logged;
    pb::Command command;
    if (!logged.ParseFromArray(loggedCommand.data(), static_cast<int>(loggedCommand.size())) || !command.ParseFromString(logged.command())) {
        return refusal(ResultCode::BadRequest, "the command cannot be parsed");
    }
    if (command.operation_id().empty() || command.operation_id().size() > maxOperationId) {
        return refusal(ResultCode::BadRequest, fmt::format("operation_id must have 1 to {} bytes", maxOperationId));
    }
    const std::string digest = operationDigest(logged);
    if (const pb::OperationRecord *kept = m_operations.find(command.operation_id())) {
        return kept->digest() == digest ? kept->answer() : refusal(ResultCode::BadRequest, "operation_id was already used for another command");
    }
    if (m_operations.isExpired(command.operations_seen())) {
        return refusal(ResultCode::OperationExpired,
                       "the operation is older than the kept answers and may have run already; check the status before a new attempt");
    }
    if (command.operations_seen() > m_operations.applied()) {
        return refusal(ResultCode::BadRequest, "operations_seen is higher than the number of applied operations");
    }

    const std::uint64_t revisionBefore = m_revision;
    Answer answer = execute(logged, command);
    const bool changesConfig = command.has_roll() || command.has_replace_routes();
    checkInvariant(m_revision == revisionBefore || (isAccepted(answer) && changesConfig && m_revision == revisionBefore + 1),
                   "the revision increases by one, and only for an accepted change of the configuration");

    pb::OperationRecord record;
    record.set_operation_id(command.operation_id());
    record.set_digest(digest);
    *record.mutable_answer() = answer;
    m_operations.add(record);
    return answer;
}

// Answers are kept in the replicated state, so replicas of different releases stay equal only if the texts of details do not change.
ControlState::Answer ControlState::execute(const pb::LoggedCommand &logged, const pb::Command &command)
{
    switch (command.kind_case()) {
    case pb::Command::kPropose:
        return propose(command.propose(), logged.operator_name());
    case pb::Command::kSign:
        return sign(command.sign());
    case pb::Command::kRoll:
        return roll(command.roll(), logged.operator_name());
    case pb::Command::kSetSigner:
        return setSigner(command.set_signer());
    case pb::Command::kAddFlowKey:
        return addFlowKey(command.add_flow_key());
    case pb::Command::kActivateFlowKey:
        return activateFlowKey(command.activate_flow_key(), logged);
    case pb::Command::kRetireFlowKey:
        return retireFlowKey(command.retire_flow_key(), logged);
    case pb::Command::kReplaceRoutes:
        return replaceRoutes(command.replace_routes());
    case pb::Command::kChangeKnownHosts:
        return changeKnownHosts(command.change_known_hosts());
    case pb::Command::kMembership:
    case pb::Command::KIND_NOT_SET:
        break;
    }
    return refusal(ResultCode::BadRequest, "the command is not one of the control state");
}

ControlState::Answer ControlState::accepted() const
{
    Answer answer;
    answer.set_revision(m_revision);
    return answer;
}

// Bundles

ControlState::Answer ControlState::propose(const pb::ProposeBundle &command, const std::string &operatorName)
{
    Answer refused;
    const auto content = handleFailure(
        [&]() -> Result<pb::BundleContent> {
            return parseBundle(command.content());
        },
        [&refused](const Failure &failure) {
            refused = refusal(failure.code, failure.detail);
            return pb::BundleContent();
        });
    if (!isAccepted(refused)) {
        return refused;
    }
    const auto existing = m_services.find(content.service());
    if (existing == m_services.end() && m_lastServiceId == std::numeric_limits<std::uint16_t>::max()) {
        return refusal(ResultCode::BadBundle, "all service numbers are assigned");
    }
    if (existing != m_services.end()) {
        refused = checkVersion(existing->second, content);
        if (!isAccepted(refused)) {
            return refused;
        }
    }

    Service &service = m_services[content.service()];
    if (service.id == ServiceId()) {
        service.id = ServiceId{++m_lastServiceId};
    }
    pb::Bundle &bundle = service.bundles[content.version()];
    bundle.set_content(command.content());
    bundle.set_digest(bundleDigest(command.content()));
    bundle.set_proposed_by(operatorName);
    Answer answer = accepted();
    answer.set_digest(bundle.digest());
    return answer;
}

ControlState::Answer ControlState::checkVersion(const Service &service, const pb::BundleContent &content) const
{
    const std::uint64_t version = content.version();
    const auto taken = service.bundles.find(version);
    if (taken != service.bundles.end()) {
        const pb::Bundle &winner = taken->second;
        return conflict(fmt::format("version {} was proposed by {}", version, winner.proposed_by()), winner.proposed_by(), winner.digest());
    }
    if (version <= service.droppedVersion) {
        return conflict(fmt::format("versions up to {} are no longer kept", service.droppedVersion), {}, {});
    }
    if (version < service.versionInForce) {
        return refusal(ResultCode::StaleRevision, fmt::format("version {} is in force, a new bundle needs a higher one", service.versionInForce));
    }
    const auto pending = std::count_if(service.bundles.begin(), service.bundles.end(), [](const auto &entry) {
        return isPending(entry.second);
    });
    if (static_cast<std::size_t>(pending) >= m_options.maxPending) {
        return refusal(ResultCode::BadBundle, fmt::format("{} bundles of the service already wait to be rolled", pending));
    }
    return {};
}

ControlState::Answer ControlState::sign(const pb::SignBundle &command)
{
    const auto service = m_services.find(command.service());
    if (service == m_services.end()) {
        return refusal(ResultCode::UnknownService, fmt::format("service \"{}\" is not known", command.service()));
    }
    const auto found = service->second.bundles.find(command.version());
    if (found == service->second.bundles.end()) {
        return refusal(ResultCode::UnknownBundle, fmt::format("version {} is not proposed", command.version()));
    }
    pb::Bundle &bundle = found->second;
    if (!command.digest().empty() && command.digest() != bundle.digest()) {
        return refusal(ResultCode::BadDigest, fmt::format("version {} has other content, proposed by {}", command.version(), bundle.proposed_by()));
    }
    const pb::Signature &newSignature = command.signature();
    const std::string *key = signerKey(command.service(), newSignature.signer());
    if (key == nullptr) {
        return refusal(ResultCode::UnknownSigner, fmt::format("\"{}\" is not a signer of {}", newSignature.signer(), command.service()));
    }
    if (!isBundleSignature(*key, bundle.digest(), newSignature.signature())) {
        return refusal(ResultCode::BadSignature, fmt::format("the signature of \"{}\" does not match version {}", newSignature.signer(), command.version()));
    }

    auto *signatures = bundle.mutable_signatures();
    auto existing = std::find_if(signatures->begin(), signatures->end(), [&newSignature](const pb::Signature &signature) {
        return signature.signer() == newSignature.signer();
    });
    if (existing == signatures->end() && signatures->size() >= maxSignatures) {
        return refusal(ResultCode::BadSignature, fmt::format("version {} has {} signatures already", command.version(), maxSignatures));
    }
    pb::Signature &signature = existing == signatures->end() ? *signatures->Add() : *existing;
    signature = newSignature;
    signature.set_public_key(*key);
    if (bundle.state() == pb::BUNDLE_STATE_PROPOSED) {
        bundle.set_state(pb::BUNDLE_STATE_SIGNED);
    }
    Answer answer = accepted();
    answer.set_digest(bundle.digest());
    return answer;
}

ControlState::Answer ControlState::roll(const pb::RollBundle &command, const std::string &operatorName)
{
    const auto found = m_services.find(command.service());
    if (found == m_services.end()) {
        return refusal(ResultCode::UnknownService, fmt::format("service \"{}\" is not known", command.service()));
    }
    Service &service = found->second;
    Answer refused = checkRoll(command.service(), service, command);
    if (!isAccepted(refused)) {
        return refused;
    }
    putInForce(service, command.version(), operatorName);
    checkInvariant(isSignedByCurrentSigner(command.service(), service.bundles.at(service.versionInForce)), "the bundle in force is signed by a current signer");
    Answer answer = accepted();
    answer.set_digest(service.bundles.at(service.versionInForce).digest());
    return answer;
}

ControlState::Answer ControlState::checkRoll(const std::string &name, const Service &service, const pb::RollBundle &command) const
{
    const auto found = service.bundles.find(command.version());
    if (found == service.bundles.end()) {
        return refusal(ResultCode::UnknownBundle, fmt::format("version {} is not proposed or no longer kept", command.version()));
    }
    const pb::Bundle &bundle = found->second;
    const std::uint64_t inForce = service.versionInForce;
    if (command.expected_version() != 0 && command.expected_version() != inForce) {
        const auto current = service.bundles.find(inForce);
        const pb::Bundle winner = current == service.bundles.end() ? pb::Bundle() : current->second;
        return conflict(fmt::format("version {} is in force, rolled by {}", inForce, winner.rolled_by()), winner.rolled_by(), winner.digest());
    }
    if (!command.digest().empty() && command.digest() != bundle.digest()) {
        return refusal(ResultCode::BadDigest, fmt::format("version {} has other content, proposed by {}", command.version(), bundle.proposed_by()));
    }
    if (command.version() == inForce) {
        return refusal(ResultCode::StaleRevision, fmt::format("version {} is in force already, since revision {}", inForce, service.revision));
    }
    if (command.version() < inForce && !command.roll_back()) {
        return refusal(ResultCode::StaleRevision, fmt::format("version {} is in force; a lower version needs a roll back", inForce));
    }
    if (command.roll_back() && (command.version() > inForce || bundle.state() != pb::BUNDLE_STATE_SUPERSEDED)) {
        return refusal(ResultCode::StaleRevision, fmt::format("version {} was not in force before version {}", command.version(), inForce));
    }
    if (!isSignedByCurrentSigner(name, bundle)) {
        return refusal(ResultCode::NotSigned, fmt::format("version {} has no signature of a current signer of {}", command.version(), name));
    }
    return checkAddressConflicts(name, bundle);
}

// If two services in force had the same address, packets for one service would reach the other.
ControlState::Answer ControlState::checkAddressConflicts(const std::string &name, const pb::Bundle &bundle) const
{
    pb::BundleContent content;
    content.ParseFromString(bundle.content());
    const std::set<std::string> addresses(content.addresses().begin(), content.addresses().end());
    for (const auto &[otherName, other] : m_services) {
        const auto inForce = other.bundles.find(other.versionInForce);
        if (otherName == name || inForce == other.bundles.end()) {
            continue;
        }
        pb::BundleContent otherContent;
        otherContent.ParseFromString(inForce->second.content());
        for (const std::string &address : otherContent.addresses()) {
            if (addresses.contains(address)) {
                return refusal(ResultCode::BadBundle, fmt::format("addresses: {} belongs to {}", address, otherName));
            }
        }
    }
    return {};
}

void ControlState::putInForce(Service &service, std::uint64_t version, const std::string &operatorName)
{
    const auto previous = service.bundles.find(service.versionInForce);
    if (previous != service.bundles.end()) {
        previous->second.set_state(pb::BUNDLE_STATE_SUPERSEDED);
    }
    pb::Bundle &bundle = service.bundles.at(version);
    bundle.set_state(pb::BUNDLE_STATE_IN_FORCE);
    bundle.set_rolled_by(operatorName);
    service.versionInForce = version;
    service.revision = ++m_revision;
    dropOldBundles(service);
}

void ControlState::dropOldBundles(Service &service) const
{
    auto superseded = static_cast<std::size_t>(std::count_if(service.bundles.begin(), service.bundles.end(), [](const auto &entry) {
        return entry.second.state() == pb::BUNDLE_STATE_SUPERSEDED;
    }));
    for (auto entry = service.bundles.begin(); entry != service.bundles.end();) {
        const auto &[version, bundle] = *entry;
        // A pending bundle with a lower version than the one in force can be neither rolled nor rolled back to.
        const bool isObsolete = isPending(bundle) && version < service.versionInForce;
        const bool isOld = bundle.state() == pb::BUNDLE_STATE_SUPERSEDED && superseded > m_options.keptSuperseded;
        if (!isObsolete && !isOld) {
            ++entry;
            continue;
        }
        superseded -= isOld ? 1 : 0;
        service.droppedVersion = std::max(service.droppedVersion, version);
        entry = service.bundles.erase(entry);
    }
}

// Signers

ControlState::Answer ControlState::setSigner(const pb::SetSigner &command)
{
    if (command.service() != everyService && !isServiceName(command.service())) {
        return refusal(ResultCode::BadRequest, fmt::format("service: \"{}\" is neither a service name nor \"*\"", command.service()));
    }
    if (command.signer().empty() || command.signer().size() > maxSignerName) {
        return refusal(ResultCode::BadRequest, fmt::format("signer: 1 to {} bytes are needed", maxSignerName));
    }
    const SignerName name(command.service(), command.signer());
    if (command.public_key().empty()) {
        const bool removed = m_signers.erase(name) > 0;
        return removed ? accepted() : refusal(ResultCode::UnknownSigner, fmt::format("\"{}\" is not a signer of {}", command.signer(), command.service()));
    }
    if (command.public_key().size() != signerKeyLength) {
        return refusal(ResultCode::BadRequest, fmt::format("public_key: {} bytes are needed", signerKeyLength));
    }
    m_signers[name] = command.public_key();
    return accepted();
}

const std::string *ControlState::signerKey(const std::string &service, const std::string &signer) const
{
    auto found = m_signers.find({service, signer});
    if (found == m_signers.end()) {
        found = m_signers.find({std::string(everyService), signer});
    }
    return found == m_signers.end() ? nullptr : &found->second;
}

bool ControlState::isSignedByCurrentSigner(const std::string &service, const pb::Bundle &bundle) const
{
    const auto &signatures = bundle.signatures();
    return std::any_of(signatures.begin(), signatures.end(), [&](const pb::Signature &signature) {
        const std::string *key = signerKey(service, signature.signer());
        return key != nullptr && *key == signature.public_key() && isSignatureValid(bundle, signature);
    });
}

// Flow keys

ControlState::Answer ControlState::addFlowKey(const pb::AddFlowKey &command)
{
    if (command.number() >= flowKeyCount || command.secret().size() != flowSecretLength) {
        return refusal(ResultCode::BadRequest, fmt::format("a flow key needs a number below {} and {} bytes", flowKeyCount, flowSecretLength));
    }
    if (m_flowKeys.contains(command.number())) {
        return refusal(ResultCode::FlowKeyInUse, fmt::format("flow key {} exists; retire it before the number is used again", command.number()));
    }
    const bool hasActive = std::any_of(m_flowKeys.begin(), m_flowKeys.end(), [](const auto &entry) {
        return entry.second.active();
    });
    if (command.activate() && hasActive) {
        return refusal(ResultCode::BadRequest, "another flow key is active; activate the new one once every host has it");
    }
    pb::FlowKeyEntry &key = m_flowKeys[command.number()];
    key.set_number(command.number());
    key.set_secret(command.secret());
    key.set_active(command.activate());
    key.set_added_revision(++m_flowKeyRevision);
    return accepted();
}

ControlState::Answer ControlState::activateFlowKey(const pb::ActivateFlowKey &command, const pb::LoggedCommand &logged)
{
    const auto found = m_flowKeys.find(command.number());
    if (found == m_flowKeys.end()) {
        return refusal(ResultCode::BadRequest, fmt::format("flow key {} does not exist", command.number()));
    }
    // A balancer without the key could not decode the flow identifiers that agents issue with it.
    if (logged.flow_keys_lagging_size() > 0) {
        return refusal(ResultCode::StaleRevision, fmt::format("hosts without the newest flow keys: {}", fmt::join(logged.flow_keys_lagging(), ", ")));
    }
    for (auto &entry : m_flowKeys) {
        entry.second.set_active(entry.first == command.number());
    }
    ++m_flowKeyRevision;
    return accepted();
}

ControlState::Answer ControlState::retireFlowKey(const pb::RetireFlowKey &command, const pb::LoggedCommand &logged)
{
    const auto found = m_flowKeys.find(command.number());
    if (found == m_flowKeys.end()) {
        return refusal(ResultCode::BadRequest, fmt::format("flow key {} does not exist", command.number()));
    }
    if (found->second.active()) {
        return refusal(ResultCode::FlowKeyInUse, fmt::format("flow key {} is active", command.number()));
    }
    const auto &inUse = logged.flow_keys_in_use();
    if (std::find(inUse.begin(), inUse.end(), command.number()) != inUse.end()) {
        return refusal(ResultCode::FlowKeyInUse, fmt::format("open flows use flow key {}", command.number()));
    }
    m_flowKeys.erase(found);
    ++m_flowKeyRevision;
    return accepted();
}

// Routes

// A version that is not higher is accepted without effect: it is a resend, or a newer version was applied before it.
ControlState::Answer ControlState::replaceRoutes(const pb::ReplaceRoutes &command)
{
    if (command.table().version() > m_routes.table().version()) {
        m_routes = command;
        m_routesRevision = ++m_revision;
    }
    return accepted();
}

const pb::ReplaceRoutes &ControlState::routes() const
{
    return m_routes;
}

// Known hosts

ControlState::Answer ControlState::changeKnownHosts(const pb::ChangeKnownHosts &command)
{
    const auto &added = command.added();
    const bool areAddressesValid = std::all_of(added.begin(), added.end(), [](const pb::KnownHost &host) {
        return parseHostAddress(host.address()).has_value();
    });
    if (!areAddressesValid) {
        return refusal(ResultCode::BadRequest, "added: an address is not of the form ip:port");
    }
    for (const std::string &address : command.removed()) {
        m_knownHosts.erase(address);
    }
    for (const pb::KnownHost &host : added) {
        m_knownHosts[host.address()] = host;
    }
    return accepted();
}

const KnownHosts &ControlState::knownHosts() const
{
    return m_knownHosts;
}

// Queries

std::uint64_t ControlState::revision() const
{
    return m_revision;
}

std::uint64_t ControlState::flowKeyRevision() const
{
    return m_flowKeyRevision;
}

std::uint64_t ControlState::operationsApplied() const
{
    return m_operations.applied();
}

ServiceId ControlState::serviceId(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? ServiceId() : found->second.id;
}

pb::ServiceConfig ControlState::configOf(const std::string &name, const Service &service) const
{
    const pb::Bundle &bundle = service.bundles.at(service.versionInForce);
    pb::ServiceConfig config;
    config.set_service_id(service.id.value);
    config.set_service(name);
    config.set_version(service.versionInForce);
    config.set_revision(service.revision);
    config.set_digest(bundle.digest());
    config.mutable_content()->ParseFromString(bundle.content());
    return config;
}

pb::ConfigDelta ControlState::configAfter(std::uint64_t revision, std::uint64_t flowKeyRevision, const std::set<std::string> &services) const
{
    pb::ConfigDelta delta;
    delta.set_revision(m_revision);
    delta.set_full(revision == 0);
    for (const auto &[name, service] : m_services) {
        if (service.versionInForce != 0 && service.revision > revision && (services.empty() || services.contains(name))) {
            *delta.add_services() = configOf(name, service);
        }
    }
    if (m_routesRevision > revision) {
        *delta.mutable_routes() = m_routes.table();
    }
    delta.set_flow_key_revision(m_flowKeyRevision);
    if (flowKeyRevision < m_flowKeyRevision) {
        for (const auto &entry : m_flowKeys) {
            *delta.add_flow_keys() = entry.second;
        }
    }
    return delta;
}

bool ControlState::mayAnnounce(const std::string &service, const std::string &serverName) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.versionInForce == 0) {
        return false;
    }
    const pb::BundleContent content = configOf(service, found->second).content();
    return std::any_of(content.server_names().begin(), content.server_names().end(), [&serverName](const std::string &allowed) {
        const bool isPrefix = allowed.back() == '*';
        return isPrefix ? serverName.starts_with(allowed.substr(0, allowed.size() - 1)) : serverName == allowed;
    });
}

std::vector<std::uint32_t> ControlState::flowKeyNumbers() const
{
    std::vector<std::uint32_t> numbers;
    for (const auto &entry : m_flowKeys) {
        numbers.push_back(entry.first);
    }
    return numbers;
}

void ControlState::fillStatus(pb::StatusAnswer &status) const
{
    status.set_revision(m_revision);
    status.set_flow_key_revision(m_flowKeyRevision);
    status.set_operations_seen(m_operations.applied());
    for (const auto &[name, service] : m_services) {
        if (service.versionInForce != 0) {
            *status.add_services() = configOf(name, service);
        }
        for (const auto &entry : service.bundles) {
            *status.add_bundles() = entry.second;
        }
    }
    for (const auto &[name, key] : m_signers) {
        pb::SignerEntry &signer = *status.add_signers();
        signer.set_service(name.first);
        signer.set_signer(name.second);
        signer.set_public_key(key);
    }
    for (const auto &entry : m_flowKeys) {
        pb::FlowKeyEntry &key = *status.add_flow_keys();
        key = entry.second;
        key.clear_secret();
    }
}

// Snapshots

Bytes ControlState::snapshot() const
{
    pb::ControlSnapshot snapshot;
    snapshot.set_revision(m_revision);
    snapshot.set_last_service_id(m_lastServiceId);
    snapshot.set_flow_key_revision(m_flowKeyRevision);
    for (const auto &[name, service] : m_services) {
        pb::ServiceRecord &record = *snapshot.add_services();
        record.set_service(name);
        record.set_service_id(service.id.value);
        record.set_dropped_version(service.droppedVersion);
        record.set_version_in_force(service.versionInForce);
        record.set_revision(service.revision);
        for (const auto &[version, bundle] : service.bundles) {
            pb::VersionedBundle &versioned = *record.add_bundles();
            versioned.set_version(version);
            *versioned.mutable_bundle() = bundle;
        }
    }
    for (const auto &[name, key] : m_signers) {
        pb::SignerEntry &signer = *snapshot.add_signers();
        signer.set_service(name.first);
        signer.set_signer(name.second);
        signer.set_public_key(key);
    }
    for (const auto &entry : m_flowKeys) {
        *snapshot.add_flow_keys() = entry.second;
    }
    *snapshot.mutable_routes() = m_routes;
    snapshot.set_routes_revision(m_routesRevision);
    for (const auto &entry : m_knownHosts) {
        *snapshot.add_known_hosts() = entry.second;
    }
    m_operations.save(snapshot);

    Bytes bytes(snapshot.ByteSizeLong());
    snapshot.SerializeWithCachedSizesToArray(bytes.data());
    return bytes;
}

Result<ControlState> ControlState::restore(std::span<const std::uint8_t> bytes, Options options)
{
    pb::ControlSnapshot snapshot;
    if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(ResultCode::DiskDamaged, "the snapshot of the control state cannot be parsed");
    }
    ControlState state(options);
    state.m_revision = snapshot.revision();
    state.m_lastServiceId = static_cast<std::uint16_t>(snapshot.last_service_id());
    state.m_flowKeyRevision = snapshot.flow_key_revision();
    for (const pb::ServiceRecord &record : snapshot.services()) {
        Service &service = state.m_services[record.service()];
        service.id = ServiceId{static_cast<std::uint16_t>(record.service_id())};
        service.droppedVersion = record.dropped_version();
        service.versionInForce = record.version_in_force();
        service.revision = record.revision();
        for (const pb::VersionedBundle &versioned : record.bundles()) {
            service.bundles[versioned.version()] = versioned.bundle();
        }
    }
    for (const pb::SignerEntry &signer : snapshot.signers()) {
        state.m_signers[{signer.service(), signer.signer()}] = signer.public_key();
    }
    for (const pb::FlowKeyEntry &key : snapshot.flow_keys()) {
        state.m_flowKeys[key.number()] = key;
    }
    state.m_routes = snapshot.routes();
    state.m_routesRevision = snapshot.routes_revision();
    for (const pb::KnownHost &host : snapshot.known_hosts()) {
        state.m_knownHosts[host.address()] = host;
    }
    state.m_operations.load(snapshot);
    if (!state.holdsInvariants()) {
        return fail(ResultCode::DiskDamaged, "the snapshot of the control state violates an invariant");
    }
    return state;
}

bool ControlState::holdsInvariants() const
{
    if (m_routesRevision > m_revision || (m_routesRevision == 0) != (m_routes.table().version() == 0)) {
        return false;
    }
    std::set<std::uint16_t> ids;
    for (const auto &[name, service] : m_services) {
        const bool isIdUnique = service.id.value != 0 && service.id.value <= m_lastServiceId && ids.insert(service.id.value).second;
        if (!isIdUnique || service.revision > m_revision) {
            return false;
        }
        if (service.versionInForce == 0) {
            continue;
        }
        const auto bundle = service.bundles.find(service.versionInForce);
        if (bundle == service.bundles.end() || bundle->second.digest() != bundleDigest(bundle->second.content())) {
            return false;
        }
        const auto &signatures = bundle->second.signatures();
        const bool isSigned = std::any_of(signatures.begin(), signatures.end(), [&bundleInForce = bundle->second](const pb::Signature &signature) {
            return isSignatureValid(bundleInForce, signature);
        });
        if (!isSigned) {
            return false;
        }
    }
    return true;
}

}

#include <jujubequay/core/name_table.h>
#include <jujubequay/core/result_code.h>

namespace Jujubequay {

namespace {

constexpr NameTable<ResultCode, 44> resultNames{{{
    {ResultCode::Ok, "Ok"},
    {ResultCode::NotRunOverloaded, "NotRunOverloaded"},
    {ResultCode::NotRunMoved, "NotRunMoved"},
    {ResultCode::NotRunDeadline, "NotRunDeadline"},
    {ResultCode::NotRunCancelled, "NotRunCancelled"},
    {ResultCode::NotRunUnavailable, "NotRunUnavailable"},
    {ResultCode::NotRunRefused, "NotRunRefused"},
    {ResultCode::OutcomeUnknown, "OutcomeUnknown"},
    {ResultCode::RequestExpired, "RequestExpired"},
    {ResultCode::AnswerIncomplete, "AnswerIncomplete"},
    {ResultCode::Cancelled, "Cancelled"},
    {ResultCode::DeadlineExceeded, "DeadlineExceeded"},
    {ResultCode::BackendFailed, "BackendFailed"},
    {ResultCode::Moved, "Moved"},
    {ResultCode::BadRequest, "BadRequest"},
    {ResultCode::WrongService, "WrongService"},
    {ResultCode::VersionConflict, "VersionConflict"},
    {ResultCode::UnknownBundle, "UnknownBundle"},
    {ResultCode::NotSigned, "NotSigned"},
    {ResultCode::BadSignature, "BadSignature"},
    {ResultCode::UnknownSigner, "UnknownSigner"},
    {ResultCode::BadDigest, "BadDigest"},
    {ResultCode::BadBundle, "BadBundle"},
    {ResultCode::UnknownService, "UnknownService"},
    {ResultCode::NotLeader, "NotLeader"},
    {ResultCode::NoQuorum, "NoQuorum"},
    {ResultCode::MembershipBusy, "MembershipBusy"},
    {ResultCode::FlowKeyInUse, "FlowKeyInUse"},
    {ResultCode::StaleRevision, "StaleRevision"},
    {ResultCode::LeaseExpired, "LeaseExpired"},
    {ResultCode::StaleIncarnation, "StaleIncarnation"},
    {ResultCode::NotAuthorized, "NotAuthorized"},
    {ResultCode::OperationExpired, "OperationExpired"},
    {ResultCode::BadSettings, "BadSettings"},
    {ResultCode::BadCommandLine, "BadCommandLine"},
    {ResultCode::BadKeyFile, "BadKeyFile"},
    {ResultCode::DiskDamaged, "DiskDamaged"},
    {ResultCode::DiskIdentityMismatch, "DiskIdentityMismatch"},
    {ResultCode::DiskFailed, "DiskFailed"},
    {ResultCode::AddressUnavailable, "AddressUnavailable"},
    {ResultCode::ConnectionLost, "ConnectionLost"},
    {ResultCode::Timeout, "Timeout"},
    {ResultCode::ProtocolError, "ProtocolError"},
    {ResultCode::MessageTooLarge, "MessageTooLarge"},
}}};

}

std::string_view resultName(ResultCode code)
{
    return resultNames.name(code);
}

std::vector<ResultCode> allResultCodes()
{
    std::vector<ResultCode> codes;
    codes.reserve(resultNames.entries.size());
    for (const auto &[code, name] : resultNames.entries) {
        codes.push_back(code);
    }
    return codes;
}

bool isNotRun(ResultCode code)
{
    return code >= ResultCode::NotRunOverloaded && code <= ResultCode::NotRunRefused;
}

}

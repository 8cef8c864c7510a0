#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Jujubequay {

/// Numbered outcomes that cross process boundaries. Numbers are never reused; docs/result-codes.md explains each.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // Requests: the request was not executed.
    NotRunOverloaded = 100,
    NotRunMoved = 101,
    NotRunDeadline = 102,
    NotRunCancelled = 103,
    NotRunUnavailable = 104,
    NotRunRefused = 105,

    // Requests: the request may have been executed.
    OutcomeUnknown = 120,
    RequestExpired = 121,
    AnswerIncomplete = 122,
    Cancelled = 123,
    DeadlineExceeded = 124,
    BackendFailed = 125,
    Moved = 126,

    // Requests: the request is invalid.
    BadRequest = 140,
    WrongService = 141,

    // Control state.
    VersionConflict = 200,
    UnknownBundle = 201,
    NotSigned = 202,
    BadSignature = 203,
    UnknownSigner = 204,
    BadDigest = 205,
    BadBundle = 206,
    UnknownService = 207,
    NotLeader = 208,
    NoQuorum = 209,
    MembershipBusy = 210,
    FlowKeyInUse = 211,
    StaleRevision = 212,
    LeaseExpired = 213,
    StaleIncarnation = 214,
    NotAuthorized = 215,
    OperationExpired = 216,

    // Processes and their files.
    BadSettings = 300,
    BadCommandLine = 301,
    BadKeyFile = 302,
    DiskDamaged = 303,
    DiskIdentityMismatch = 304,
    DiskFailed = 305,
    AddressUnavailable = 306,

    // Streams between processes.
    ConnectionLost = 400,
    Timeout = 401,
    ProtocolError = 402,
    MessageTooLarge = 403,
};

/// The name of a code as logs and tables show it, for example "VersionConflict"; "unknown" for an unassigned number.
std::string_view resultName(ResultCode code);

/// Every code, in ascending order.
std::vector<ResultCode> allResultCodes();

/// True for codes that guarantee that the request was not executed.
bool isNotRun(ResultCode code);

}

#pragma once

#include <jujubequay/core/result_code.h>

#include <boost/leaf.hpp>

#include <string>

namespace Jujubequay {

/// A value, or an error that carries a ResultCode and usually an ErrorDetail.
template<class T>
using Result = boost::leaf::result<T>;

/// Human-readable description of an error. Names the file, key or peer concerned.
struct ErrorDetail {
    std::string text;
};

/// Returns a LEAF error.
///
///     return fail(ResultCode::BadKeyFile, fmt::format("{}: mode is not 0600", path));
inline boost::leaf::error_id fail(ResultCode code, std::string detail)
{
    return boost::leaf::new_error(code, ErrorDetail{std::move(detail)});
}

/// A failed operation as a plain value, for code that stores or prints errors.
struct Failure {
    ResultCode code = ResultCode::Ok;
    std::string detail;
};

/// Runs an operation that returns Result<T> and returns its value. On failure, calls the handler with the Failure and returns the handler's value.
///
///     const int count = handleFailure([] { return readCount(); }, [](const Failure &failure) { return 0; });
template<class Operation, class Handler>
auto handleFailure(Operation &&operation, Handler &&handler)
{
    return boost::leaf::try_handle_all(
        std::forward<Operation>(operation),
        [&handler](ResultCode code, const ErrorDetail &detail) {
            return handler(Failure{code, detail.text});
        },
        [&handler](ResultCode code) {
            return handler(Failure{code, {}});
        },
        [&handler] {
            return handler(Failure{ResultCode::ProtocolError, "unclassified error"});
        });
}

}

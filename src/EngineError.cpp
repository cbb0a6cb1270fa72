#include "EngineError.h"

namespace jayhold {

auto name(FailureKind failure) -> std::string_view
{
    switch (failure) {
    case FailureKind::Busy:
        return "busy";
    case FailureKind::NotConnected:
        return "not_connected";
    case FailureKind::KvExpired:
        return "kv_expired";
    case FailureKind::ConnectionLost:
        return "connection_lost";
    case FailureKind::TimedOut:
        return "timed_out";
    case FailureKind::ServerError:
        return "server_error";
    case FailureKind::Leaving:
        return "leaving";
    case FailureKind::Paused:
        return "paused";
    case FailureKind::OtherVersion:
        return "other_version";
    }
    return "invalid";
}

auto engineErrorOf(const HttpError& error) -> EngineError
{
    switch (error.kind) {
    case HttpErrorKind::NotConnected:
        return { FailureKind::NotConnected, error.detail };
    case HttpErrorKind::TimedOut:
        return { FailureKind::TimedOut, error.detail };
    case HttpErrorKind::MalformedAnswer:
        return { FailureKind::ServerError, error.detail };
    case HttpErrorKind::ConnectionLost:
    case HttpErrorKind::Cancelled:
        return { FailureKind::ConnectionLost, error.detail };
    }
    return { FailureKind::ServerError, error.detail };
}

auto engineErrorOf(unsigned status) -> EngineError
{
    auto detail = "status " + std::to_string(status);
    switch (status) {
    case 409:
    case 429:
        return { FailureKind::Busy, std::move(detail) };
    case 410:
    // The decode engine could not fetch the KV cache, so it did not run the request, and the prefill
    // result is unusable.
    case 502:
        return { FailureKind::KvExpired, std::move(detail) };
    case 503:
        return { FailureKind::Leaving, std::move(detail) };
    default:
        return { FailureKind::ServerError, std::move(detail) };
    }
}

}

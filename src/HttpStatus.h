#pragma once

/// HTTP status codes that are compared or sent in calls between processes.

namespace jayhold {

inline constexpr unsigned statusOk = 200;
inline constexpr unsigned statusCreated = 201;
inline constexpr unsigned statusAccepted = 202;
/// First status above the success range.
inline constexpr unsigned statusSuccessEnd = 300;
inline constexpr unsigned statusNotModified = 304;
inline constexpr unsigned statusBadRequest = 400;
inline constexpr unsigned statusForbidden = 403;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusConflict = 409;
inline constexpr unsigned statusGone = 410;
inline constexpr unsigned statusMisdirected = 421;
inline constexpr unsigned statusTooManyRequests = 429;
inline constexpr unsigned statusUnavailable = 503;
/// First status of the server error range.
inline constexpr unsigned statusServerError = 500;

}

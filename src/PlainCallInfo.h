#pragma once

/// A validated call to a plain service.

#include "BackendNotice.h"
#include "BackendServer.h"
#include "HttpRequest.h"
#include "RequestKind.h"
#include "RequestRank.h"
#include "Time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace jayhold {

struct PlainCallInfo {
    /// The request for the backend server.
    HttpRequest request;
    RequestKind kind;
    std::string customer;
    /// Priority of the customer, the default if it has none.
    std::int64_t customerPriority = defaultPriority;
    /// Empty if the caller sent none.
    std::string idempotencyKey;
    /// The caller's id for this attempt of its request; empty if it sent none.
    std::string requestId;
    /// Crash signature: equal for requests that the service can't tell apart. 0 if it is not known.
    std::uint64_t signature = 0;
    TimePoint arrivedAt {};
    TimePoint deadline {};
    /// Asked before the call is sent again because a reused connection had closed. A call that is sent
    /// again takes a retry from the budget, and a call from the limit that the server names.
    std::function<bool(const BackendServer&)> mayResend = [](const BackendServer&) { return false; };
    /// Receives what each response to the call says about the server.
    NoticeHandler onNotice = ignoreNotices();
    /// Receives the server and status of a response that belongs to another call and was skipped.
    std::function<void(const BackendServer&, unsigned)> onSkippedResponse = [](const BackendServer&, unsigned) {};
};

}

#pragma once

/// A checked call to a plain service.

#include "HttpRequest.h"
#include "RequestKind.h"
#include "Time.h"

#include <string>

namespace jayhold {

struct PlainCallInfo {
    /// What the backend server gets.
    HttpRequest request;
    RequestKind kind;
    std::string customer;
    /// Empty where the caller sent none.
    std::string idempotencyKey;
    /// The caller's name for this attempt of its request; empty where it gave none.
    std::string requestId;
    TimePoint arrivedAt {};
    TimePoint deadline {};
};

}

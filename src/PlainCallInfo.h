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
    TimePoint arrivedAt {};
    TimePoint deadline {};
};

}

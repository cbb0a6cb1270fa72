#pragma once

/// A validated model request, as input of its life cycle.

#include "CompletionRequest.h"
#include "ForwardedCall.h"
#include "Identifiers.h"
#include "PromptDigest.h"
#include "RequestKind.h"
#include "Time.h"

#include <memory>
#include <optional>
#include <string>

namespace jayhold {

struct ModelRequestInfo {
    CompletionRequest request;
    PromptDigest digest;
    KindId kind {};
    RequestKind kindSettings;
    CustomerId customer {};
    std::string customerName;
    /// Model that the engines run.
    std::string model;
    TimePoint arrivedAt {};
    TimePoint deadline {};
    /// The caller's request, if it is forwarded to the engines unchanged; null otherwise.
    std::shared_ptr<const ForwardedCall> forwarded;
    /// Software version of the engines at which a stream that the caller takes up must go on; nothing for a request that
    /// may begin at any version. An empty text is the version of engines whose version is unknown.
    std::optional<std::string> boundVersion {};
};

}

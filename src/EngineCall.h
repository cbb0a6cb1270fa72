#pragma once

/// What an engine is told about a request.

#include "ForwardedCall.h"
#include "HttpEndpoint.h"
#include "Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace jayhold {

/// Where a decode engine finds the KV cache of the prompt.
struct KvSource {
    HttpEndpoint endpoint;
    std::string handle;
};

struct EngineCall {
    /// Identifies the attempt at the engine.
    std::string requestId;
    std::string owner;
    std::string model;
    std::string prompt;
    /// Smaller is more urgent.
    int priority = 0;
    std::int64_t deadlineMs = 0;
    /// Decode only.
    std::uint32_t maxTokens = 0;
    std::uint32_t resumeFrom = 0;
    std::optional<KvSource> kv;
    /// The caller's request, where it goes to the engine unchanged; null otherwise.
    std::shared_ptr<const ForwardedCall> forwarded;
    /// Names the seat and memory that the decode engine keeps for the request.
    std::optional<std::string> slot;
    /// Whether the call may run more than once.
    bool isRepeatable = true;
    /// How long the engine keeps a prefill result, where its answer does not say.
    Duration prefillResultTtl {};
};

}

#pragma once

/// The parameters of a prefill or decode call to an engine.

#include "BackendNotice.h"
#include "ForwardedCall.h"
#include "HttpEndpoint.h"
#include "Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jayhold {

/// The location from which a decode engine fetches the KV cache of the prompt.
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
    /// A lower value is more urgent.
    int priority = 0;
    std::int64_t deadlineMs = 0;
    /// Decode only.
    std::uint32_t maxTokens = 0;
    std::uint32_t resumeFrom = 0;
    std::optional<KvSource> kv;
    /// The caller's request, if it is forwarded to the engine unchanged; null otherwise.
    std::shared_ptr<const ForwardedCall> forwarded;
    /// Name of the slot and memory reservation at the decode engine.
    std::optional<std::string> slot;
    /// Asked before the call is sent again because a reused connection had closed. A call that is sent
    /// again takes a retry from the budget, and a call from the limit that the engine names.
    std::function<bool()> mayResend = [] { return false; };
    /// Receives what each response to the call says about the engine.
    NoticeHandler onNotice = ignoreNotices();
    /// Receives the status of a response that belongs to another call and was skipped.
    std::function<void(unsigned)> onSkippedResponse = [](unsigned) {};
    /// Time to live of a prefill result, if the engine's response does not state it.
    Duration prefillResultTtl {};
};

}

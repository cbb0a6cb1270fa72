#pragma once

/// One type of call in a load mix.

#include <chrono>
#include <cstdint>
#include <string>

namespace jayhold {

struct LoadItem {
    /// Name in the report.
    std::string name;
    /// Share of the calls, relative to the other items.
    double weight = 1;
    std::string service;
    std::string kind;
    /// Key of the customer, sent as the bearer token.
    std::string key;
    /// Model of a model service; empty for a plain service.
    std::string model;
    std::int64_t promptTokens = 100;
    /// Words at the start of the prompt that all calls of the item share.
    std::int64_t sharedTokens = 0;
    /// Maximum number of tokens that the call requests.
    std::int64_t maxTokens = 64;
    /// Exact length of the completion in tokens, or 0 if the engine chooses it.
    std::int64_t outputTokens = 0;
    /// Text that every prompt contains, such as the marker that crashes a stand-in engine.
    std::string marker;
    /// Whether all calls of the item send the same prompt.
    bool hasSamePrompt = false;
    bool isStream = true;
    /// Share of streams that are cancelled halfway.
    double cancelShare = 0;
    std::string method = "POST";
    std::string path;
    /// Whether each call carries its own Idempotency-Key.
    bool hasIdempotencyKey = false;
    std::chrono::milliseconds firstTokenTarget { 0 };
    std::chrono::milliseconds tokenGapTarget { 0 };
    /// Sent as X-Request-Timeout-Ms; 0 omits the header.
    std::chrono::milliseconds requestTimeout { 0 };
};

}

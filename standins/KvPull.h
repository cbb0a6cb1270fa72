#pragma once

/// The decode side of a KV transfer.

#include "EngineRequest.h"
#include "EngineRun.h"
#include "HttpClient.h"

namespace jayhold::standin {

enum class KvPullStatus {
    Transferred,
    /// The prefill engine no longer has the result.
    Expired,
    /// The transfer broke off or was cancelled.
    Failed,
};

struct KvPullResult {
    KvPullStatus status = KvPullStatus::Failed;
    /// Tokens whose prefill the KV cache carries.
    std::int64_t computedTokens = 0;
};

/// Pulls the KV cache of a prefill from its engine.
auto pullKv(HttpClient& client, EngineRun& run, const KvSource& source) -> boost::asio::awaitable<KvPullResult>;

}

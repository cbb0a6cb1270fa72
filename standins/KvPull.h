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
    /// The transfer was interrupted or cancelled, or could not be started.
    Failed,
};

struct KvPullResult {
    KvPullStatus status = KvPullStatus::Failed;
    /// Tokens that the prefill computed, without those from its prefix cache.
    std::int64_t computedTokens = 0;
};

/// Pulls the KV cache of a prefill from its engine.
auto pullKv(HttpClient& client, EngineRun& run, const KvSource& source) -> boost::asio::awaitable<KvPullResult>;

}

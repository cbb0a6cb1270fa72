#pragma once

/// Event: a validated request has arrived.

#include "Identifiers.h"
#include "Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayhold {

struct RequestArrived {
    RequestId request;
    KindId kind;
    CustomerId customer;
    std::uint32_t promptTokens;
    /// Maximum number of tokens that the caller accepts.
    std::uint32_t maxTokens;
    /// The caller's own estimate of the answer's tokens, 0 for none.
    std::uint32_t expectedTokens;
    /// Time after which an answer is useless.
    TimePoint deadline;
    /// Chained hashes of the prompt's prefix blocks, first block first.
    std::vector<std::uint64_t> prefixBlocks;
    /// Digest of what the caller sent. It identifies a request that crashes backend servers when it is
    /// sent again.
    std::uint64_t signature;
    /// Parts of the prompt that other requests may share, in order.
    std::vector<std::uint64_t> promptParts {};
    /// Number of tokens that the caller has from an earlier response, which this one continues.
    std::uint32_t resumedTokens = 0;
    /// Software version that began the stream which the caller takes up, if it is known.
    std::optional<SoftwareVersionId> boundVersion {};
};

}

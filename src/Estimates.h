#pragma once

/// Predictions from what the shard has learned.

#include "DecisionContext.h"

namespace jayhold {

/// @param tokens prompt tokens before and of the request on one prefill replica.
auto prefillTime(const ShardState& state, std::uint64_t tokens) -> Duration;
auto transferTime(const ShardState& state, const ActiveRequest& request) -> Duration;
/// Length of the whole answer, at the quantile that the weight of wasted prefill asks for.
auto expectedTokens(const ShardState& state, const ActiveRequest& request) -> std::uint32_t;
/// @return tokens that the answer still takes at least: half of the expected length, because it may
/// be a short one, and none before the kind's lengths are known. A guess from the caller's limit would
/// refuse every request of a kind, and its lengths would never become known.
auto minRemainingTokens(const ShardState& state, const ActiveRequest& request) -> std::uint32_t;
/// Tokens to reserve memory for; exceeded by few answers.
auto reservedTokens(const ShardState& state, const ActiveRequest& request) -> std::uint64_t;
auto transferBytes(const ShardState& state, const ActiveRequest& request) -> std::uint64_t;

/// Predicts the end of a running decode anew if it has moved on by enough.
auto updateExpectedEnd(DecisionContext& context, ActiveRequest& request) -> void;
auto clearExpectedEnd(DecisionContext& context, ActiveRequest& request) -> void;

/// @return whether a seat that is taken now is expected to be free in time for one more request
/// whose prefill takes the given time, with `slotHeadroom` others to stay free.
auto slotExpected(const DecisionContext& context, Duration prefill, std::int64_t slotHeadroom) -> bool;

/// Learns from the events of a request.
auto updatePrefillRate(DecisionContext& context, const ActiveRequest& request, TimePoint expiresAt, std::uint32_t cachedTokens) -> void;
auto updateTransferRate(DecisionContext& context, const ActiveRequest& request) -> void;
auto updateTokenRate(DecisionContext& context, const ActiveRequest& request, std::uint32_t total) -> void;
auto updateLengthModel(DecisionContext& context, const ActiveRequest& request, std::uint32_t total) -> void;

}

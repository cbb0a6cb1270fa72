#pragma once

/// Estimates from what the shard has observed.

#include "DecisionContext.h"

namespace jayhold {

/// @param tokens prompt tokens on one prefill replica, those of the request and of the work before it.
auto prefillTime(const ShardState& state, std::uint64_t tokens) -> Duration;
/// The same on a replica of known speed.
auto prefillTime(const ShardState& state, const Replica& replica, std::uint64_t tokens) -> Duration;
auto transferTime(const ShardState& state, const ActiveRequest& request) -> Duration;
/// @return expected length of the whole answer in tokens, at a quantile that depends on the weight of
/// wasted prefill.
auto expectedTokens(const ShardState& state, const ActiveRequest& request) -> std::uint32_t;
/// @return an upper bound of the tokens that the answer still takes, which few answers exceed: the caller's limit until
/// the kind's lengths are known.
auto maxRemainingTokens(const ShardState& state, const ActiveRequest& request) -> std::uint32_t;
/// @return a lower bound of the tokens that the answer still takes: half of the expected remainder,
/// because the answer may be short, and zero until the kind's lengths are known. An estimate from the
/// caller's limit would refuse every request of the kind, and its lengths would never become known.
auto minRemainingTokens(const ShardState& state, const ActiveRequest& request) -> std::uint32_t;
/// @return tokens to reserve memory for, prompt included. Few answers exceed them.
auto reservedTokens(const ShardState& state, const ActiveRequest& request) -> std::uint64_t;
auto transferBytes(const ShardState& state, const ActiveRequest& request) -> std::uint64_t;

/// Estimates the end of a running decode again if enough tokens have been emitted since the last
/// estimate.
auto updateExpectedEnd(DecisionContext& context, ActiveRequest& request) -> void;
auto clearExpectedEnd(DecisionContext& context, ActiveRequest& request) -> void;

/// @return the time from now within which a slot must become free for a prefill that takes the given time and starts now.
auto expectedSlotTime(const ShardState& state, Duration prefill) -> Duration;
/// @return whether a slot that is in use now is expected to become free in time for one more request
/// whose prefill takes the given time, while `slotHeadroom` other slots stay free.
auto slotExpected(const DecisionContext& context, Duration prefill, std::int64_t slotHeadroom) -> bool;

/// The following functions update the estimates from the events of a request.
auto updatePrefillRate(DecisionContext& context, const ActiveRequest& request, TimePoint expiresAt, std::uint32_t cachedTokens) -> void;
auto updateTransferRate(DecisionContext& context, const ActiveRequest& request) -> void;
auto updateTokenRate(DecisionContext& context, const ActiveRequest& request, std::uint32_t total) -> void;
auto updateLengthModel(DecisionContext& context, const ActiveRequest& request, std::uint32_t total) -> void;

}

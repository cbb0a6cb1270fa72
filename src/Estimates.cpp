#include "Estimates.h"

#include "SpeedEstimates.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

namespace {

/// The median is right for most requests. A higher weight of wasted prefill moves the estimate to a
/// safer quantile.
constexpr double minLengthQuantile = 0.5;
constexpr double lengthQuantileRange = 0.4;
/// Few answers are longer than the length at this quantile.
constexpr double maxLengthQuantile = 0.9;
/// Fraction of a prefill result's time to live that may be spent on waiting for a slot.
constexpr double slotWaitTtlFraction = 0.5;
/// The end is estimated again after this many more tokens, or after an eighth of those emitted if that
/// is more.
constexpr std::uint32_t estimateStepTokens = 8;

auto seconds(double value) -> Duration
{
    constexpr double maxSeconds = 1e6;
    return Duration(static_cast<Duration::rep>(std::clamp(value, 0.0, maxSeconds) * 1e6));
}

auto toSeconds(Duration duration) -> double
{
    return static_cast<double>(duration.count()) / 1e6;
}

auto lengthModel(const ShardState& state, const ActiveRequest& request) -> const LengthModel&
{
    static const LengthModel emptyModel;
    const auto kind = static_cast<std::size_t>(request.arrival.kind);
    return kind < state.lengthModels.size() ? state.lengthModels[kind] : emptyModel;
}

/// Tokens of the whole answer at a quantile of the kind's lengths, or the caller's own estimate until
/// those lengths are known.
auto answerTokens(const ShardState& state, const ActiveRequest& request, double quantile) -> std::uint32_t
{
    const auto& model = lengthModel(state, request);
    const auto& arrival = request.arrival;
    if (!model.hasEnoughAnswers() && arrival.expectedTokens > 0)
        return std::min(std::max(arrival.expectedTokens, request.emitted + 1), arrival.maxTokens);
    return model.quantile(quantile, request.emitted, arrival.maxTokens);
}

}

auto prefillTime(const ShardState& state, std::uint64_t tokens) -> Duration
{
    return seconds(static_cast<double>(tokens) / state.rates.prefillTokensPerSecond.value());
}

auto prefillTime(const ShardState& state, const Replica& replica, std::uint64_t tokens) -> Duration
{
    return seconds(static_cast<double>(tokens) / (state.rates.prefillTokensPerSecond.value() * replica.expectedSpeed));
}

auto transferBytes(const ShardState& state, const ActiveRequest& request) -> std::uint64_t
{
    return state.settings.kvBytesPerToken * request.arrival.promptTokens;
}

auto transferTime(const ShardState& state, const ActiveRequest& request) -> Duration
{
    return seconds(static_cast<double>(transferBytes(state, request)) / state.rates.transferBytesPerSecond.value());
}

auto expectedTokens(const ShardState& state, const ActiveRequest& request) -> std::uint32_t
{
    const auto quantile = minLengthQuantile + lengthQuantileRange * state.settings.wastedPrefillWeight;
    return answerTokens(state, request, quantile);
}

auto maxRemainingTokens(const ShardState& state, const ActiveRequest& request) -> std::uint32_t
{
    const auto total = answerTokens(state, request, maxLengthQuantile);
    return total - std::min(request.emitted, total);
}

auto minRemainingTokens(const ShardState& state, const ActiveRequest& request) -> std::uint32_t
{
    if (!lengthModel(state, request).hasEnoughAnswers())
        return 0;
    const auto expected = expectedTokens(state, request);
    return (expected - std::min(request.emitted, expected)) / 2;
}

auto reservedTokens(const ShardState& state, const ActiveRequest& request) -> std::uint64_t
{
    return std::uint64_t { request.arrival.promptTokens } + answerTokens(state, request, state.settings.memoryQuantile);
}

auto updateExpectedEnd(DecisionContext& context, ActiveRequest& request) -> void
{
    const auto hasEstimate = request.expectedEnd != TimePoint::max();
    if (hasEstimate && request.emitted < request.emittedAtEstimate + std::max(estimateStepTokens, request.emittedAtEstimate / 8))
        return;
    const auto total = expectedTokens(context.state, request);
    const auto remaining = total > request.emitted ? total - request.emitted : 1;
    const auto* replica = request.decode ? findReplica(context.state, *request.decode) : nullptr;
    const auto speed = replica ? replica->expectedSpeed : 1;
    const auto end = context.now + seconds(remaining / (context.state.rates.tokensPerSecond.value() * speed));
    context.state.decodeEnds.move(request.arrival.request, request.expectedEnd, end);
    request.emittedAtEstimate = request.emitted;
}

auto clearExpectedEnd(DecisionContext& context, ActiveRequest& request) -> void
{
    context.state.decodeEnds.move(request.arrival.request, request.expectedEnd, TimePoint::max());
    request.emittedAtEstimate = 0;
}

auto expectedSlotTime(const ShardState& state, Duration prefill) -> Duration
{
    return prefill + seconds(state.rates.resultTtlSeconds.value() * slotWaitTtlFraction * (1 - state.settings.wastedPrefillWeight));
}

auto slotExpected(const DecisionContext& context, Duration prefill, std::int64_t slotHeadroom) -> bool
{
    const auto& state = context.state;
    const auto weight = state.settings.wastedPrefillWeight;
    const auto decodeEnds = static_cast<double>(state.decodeEnds.count(context.now, context.now + expectedSlotTime(state, prefill)));
    // The number of ends is about Poisson distributed. The weight sets how many standard deviations are
    // subtracted.
    const auto safeEnds = decodeEnds - weight * std::sqrt(decodeEnds);
    const auto missingSlots = std::max<std::int64_t>(slotHeadroom - state.freeDecodeSlots, 0);
    return safeEnds >= static_cast<double>(state.prefillsWithoutSlot.size() + state.prefilled.size() + 1) + static_cast<double>(missingSlots);
}

auto updatePrefillRate(DecisionContext& context, const ActiveRequest& request, TimePoint expiresAt, std::uint32_t cachedTokens) -> void
{
    auto& rates = context.state.rates;
    // The backlog counts each request without the cached tokens that were expected for it.
    const double own = request.prefillReserved.prefillTokens;
    const double computed = request.prefillBacklogTokens - own + request.arrival.promptTokens - std::min(cachedTokens, request.arrival.promptTokens);
    rates.prefillTokensPerSecond.observe(computed, toSeconds(context.now - request.phaseStartedAt));
    rates.resultTtlSeconds.observe(toSeconds(expiresAt - context.now), 1);
    if (auto* replica = request.prefill ? findReplica(context.state, *request.prefill) : nullptr)
        observeReplicaSpeed(context, *replica, computed + request.prefillPeerTokens, toSeconds(context.now - request.phaseStartedAt));
}

auto updateTransferRate(DecisionContext& context, const ActiveRequest& request) -> void
{
    auto& rates = context.state.rates;
    rates.transferBytesPerSecond.observe(static_cast<double>(transferBytes(context.state, request)), toSeconds(context.now - request.phaseStartedAt));
}

auto updateTokenRate(DecisionContext& context, const ActiveRequest& request, std::uint32_t total) -> void
{
    if (request.phase != RequestPhase::Decoding || total <= request.emitted)
        return;
    const auto tokens = total - request.emitted;
    const auto time = toSeconds(context.now - request.lastProgressAt);
    context.state.rates.tokensPerSecond.observe(tokens, time);
    if (auto* replica = request.decode ? findReplica(context.state, *request.decode) : nullptr)
        observeReplicaSpeed(context, *replica, tokens, time);
}

auto updateLengthModel(DecisionContext& context, const ActiveRequest& request, std::uint32_t total) -> void
{
    const auto kind = static_cast<std::size_t>(request.arrival.kind);
    if (kind < context.state.lengthModels.size())
        context.state.lengthModels[kind].observe(total);
}

}

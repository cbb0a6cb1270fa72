#include "DecodeRelay.h"

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Number of tokens between two progress reports to the decision code, which estimates output lengths
/// from them and does not need every token.
constexpr std::uint32_t reportIntervalTokens = 32;

constexpr std::string_view truncatedStream = "the stream ended before the response was complete";

}

DecodeRelay::DecodeRelay(ResponseWriter& writer, RequestStateMachine& machine, ServiceMetrics& metrics, EntryTimeouts timeouts, TimePoint arrivedAt, TokenSequence sequence, std::uint32_t tokensPerEvent)
    : m_writer(writer)
    , m_machine(machine)
    , m_metrics(metrics)
    , m_timeouts(timeouts)
    , m_reportIntervalEvents(std::max(reportIntervalTokens / std::max(tokensPerEvent, 1U), 1U))
    , m_sequence(sequence)
    , m_assumedStep(std::max(tokensPerEvent, 1U))
    , m_lastTokenAt(arrivedAt)
{
}

auto DecodeRelay::run(HttpStream& stream, EventReader& reader, Observer observer) -> asio::awaitable<RelayResult>
{
    auto hasStarted = false;
    auto reportedTokens = tokens();
    AttemptState attempt { .reader = reader, .isResumed = m_hasSentTokens };
    while (true) {
        const auto timeout = hasStarted ? m_timeouts.stall : m_timeouts.firstToken;
        const auto chunk = co_await stream.readSome(timeout);
        if (chunk.has_error())
            co_return RelayResult { engineErrorOf(chunk.error()) };
        if (observer.isReplaced()) {
            if (processReplaced(*chunk, attempt) == ParseResult::Complete)
                co_return RelayResult {};
            co_return RelayResult { EngineError { FailureKind::ConnectionLost, chunk->empty() ? std::string(truncatedStream) : "the engine went on after its attempt had been replaced" } };
        }
        const auto tokensBefore = tokens();
        const auto result = chunk->empty() ? processEndOfBody(attempt) : processChunk(*chunk, attempt);
        if (chunk->empty() && result == ParseResult::NeedMore)
            co_return RelayResult { EngineError { FailureKind::ConnectionLost, std::string(truncatedStream) } };
        if (!hasStarted && tokens() > tokensBefore) {
            hasStarted = true;
            observer.onStarted();
        }
        // The tokens before an invalid event are valid; the next attempt does not request them again.
        m_isSending = true;
        const auto isFlushed = co_await m_writer.flush();
        m_isSending = false;
        m_sentAt = monotonicNow();
        if (!isFlushed)
            co_return RelayResult { .isCallerDisconnected = true };
        if (result == ParseResult::Invalid)
            co_return RelayResult { .error = EngineError { FailureKind::ServerError, attempt.errorDetail }, .isEmpty = attempt.isEmpty };
        if (result == ParseResult::Complete)
            co_return RelayResult {};
        if (const auto error = stream.hold(reader.bufferBytes()))
            co_return RelayResult { engineErrorOf(*error) };
        if (tokens() - reportedTokens >= m_reportIntervalEvents) {
            reportedTokens = tokens();
            observer.onTokens(reportedTokens);
        }
    }
}

auto DecodeRelay::processEndOfBody(AttemptState& attempt) -> ParseResult
{
    TokenEvent event;
    if (attempt.reader.endOfBody(event) != EventReader::Status::Event)
        return ParseResult::NeedMore;
    // An empty body doesn't show that the tokens which the caller has are all.
    attempt.isEmpty = attempt.isResumed && attempt.receivedTokens == 0;
    if (attempt.isEmpty) {
        attempt.errorDetail = "the resumed response is empty";
        return ParseResult::Invalid;
    }
    if (attempt.isResumed && attempt.receivedTokens < tokens()) {
        attempt.errorDetail = "the resumed response ends after token " + std::to_string(attempt.receivedTokens - 1) + ", before token " + std::to_string(tokens() - 1);
        return ParseResult::Invalid;
    }
    return acceptEnd(event, attempt);
}

auto DecodeRelay::processReplaced(std::string_view chunk, AttemptState& attempt) -> ParseResult
{
    if (chunk.empty())
        return processEndOfBody(attempt);
    attempt.reader.feed(chunk);
    TokenEvent event;
    const auto isEnd = attempt.reader.next(event) == EventReader::Status::Event && event.isDone;
    return isEnd ? acceptEnd(event, attempt) : ParseResult::Invalid;
}

auto DecodeRelay::acceptEnd(const TokenEvent& event, AttemptState& attempt) -> ParseResult
{
    if (m_sequence.acceptEnd(event.index) == TokenCheckResult::Next)
        return ParseResult::Complete;
    attempt.errorDetail = "the end event counts " + std::to_string(event.index) + " tokens, but " + std::to_string(tokens()) + " were received";
    return ParseResult::Invalid;
}

auto DecodeRelay::processChunk(std::string_view chunk, AttemptState& attempt) -> ParseResult
{
    attempt.reader.feed(chunk);
    m_now = monotonicNow();
    TokenEvent event;
    while (true) {
        const auto status = attempt.reader.next(event);
        if (status == EventReader::Status::NeedMore)
            return ParseResult::NeedMore;
        if (status == EventReader::Status::Malformed) {
            attempt.errorDetail = "malformed token event";
            return ParseResult::Invalid;
        }
        if (event.isDone)
            return acceptEnd(event, attempt);
        if (!acceptToken(event, attempt))
            return ParseResult::Invalid;
    }
}

auto DecodeRelay::continuesResponse(std::uint32_t index) const -> bool
{
    const auto isRegular = m_largestStep > 0 && m_smallestStep == m_largestStep;
    const auto maxStep = isRegular ? m_largestStep : std::max(m_largestStep, m_assumedStep);
    return index < tokens() || index - tokens() < maxStep;
}

auto DecodeRelay::recordStep(std::uint32_t step) -> void
{
    m_smallestStep = m_smallestStep == 0 ? step : std::min(m_smallestStep, step);
    m_largestStep = std::max(m_largestStep, step);
}

auto DecodeRelay::acceptToken(const TokenEvent& event, AttemptState& attempt) -> bool
{
    attempt.receivedTokens = std::max(attempt.receivedTokens, event.index + 1);
    const auto expected = tokens();
    if (attempt.isResumed && !attempt.hasContinued && !continuesResponse(event.index)) {
        attempt.errorDetail = "the resumed response continues with token " + std::to_string(event.index) + " after token " + std::to_string(expected - 1);
        return false;
    }
    const auto check = m_sequence.acceptToken(event.index);
    if (check == TokenCheckResult::Duplicate)
        return true;
    attempt.hasContinued = true;
    if (check != TokenCheckResult::Next || !m_machine.apply(RequestTransition::TokenSent)) {
        attempt.errorDetail = "received token " + std::to_string(event.index) + " instead of token " + std::to_string(tokens());
        return false;
    }
    if (m_hasSentTokens)
        recordStep(tokens() - expected);
    m_tokensBeforeLast = expected;
    m_writer.addToken(event.text);
    m_metrics.tokens.fetch_add(1, std::memory_order_relaxed);
    const auto gap = m_now - m_lastTokenAt;
    auto& histogram = m_hasSentTokens ? m_metrics.tokenGap : m_metrics.firstToken;
    histogram.record(gap);
    if (m_hasSentTokens)
        m_longestTokenGap = std::max(m_longestTokenGap, gap);
    else
        m_timeToFirstToken = gap;
    m_hasSentTokens = true;
    m_lastTokenAt = m_now;
    return true;
}

}

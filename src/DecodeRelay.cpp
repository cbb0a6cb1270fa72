#include "DecodeRelay.h"

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Tokens between two reports to the decision code, which uses them to learn output lengths and
/// does not need every single one.
constexpr std::uint32_t reportedTokens = 32;

}

DecodeRelay::DecodeRelay(ResponseWriter& writer, RequestStateMachine& machine, ServiceMetrics& metrics, EntryTimeouts timeouts, TimePoint arrivedAt, TokenSequence sequence, std::uint32_t tokensPerEvent)
    : m_writer(writer)
    , m_machine(machine)
    , m_metrics(metrics)
    , m_timeouts(timeouts)
    , m_reportInterval(std::max(reportedTokens / std::max(tokensPerEvent, 1U), 1U))
    , m_sequence(sequence)
    , m_lastToken(arrivedAt)
{
}

auto DecodeRelay::run(HttpStream& stream, EventReader& reader, Observer observer) -> asio::awaitable<RelayResult>
{
    auto hasStarted = false;
    auto reported = tokens();
    while (true) {
        const auto timeout = hasStarted ? m_timeouts.stall : m_timeouts.firstToken;
        const auto chunk = co_await stream.readSome(timeout);
        if (chunk.has_error())
            co_return RelayResult { engineErrorOf(chunk.error()) };
        const auto before = tokens();
        const auto step = chunk->empty() ? processEndOfBody(reader) : processChunk(*chunk, reader);
        if (chunk->empty() && step == Step::NeedMore)
            co_return RelayResult { EngineError { FailureKind::ConnectionLost, "the stream ended before the answer was complete" } };
        if (!hasStarted && tokens() > before) {
            hasStarted = true;
            observer.onStarted();
        }
        // Tokens before a faulty event are good and are not asked for again.
        const auto isFlushed = co_await m_writer.flush();
        if (!isFlushed)
            co_return RelayResult { .isCallerGone = true };
        if (step == Step::Faulty)
            co_return RelayResult { EngineError { FailureKind::ServerError, m_fault } };
        if (step == Step::Complete)
            co_return RelayResult {};
        if (tokens() - reported >= m_reportInterval) {
            reported = tokens();
            observer.onTokens(reported);
        }
    }
}

auto DecodeRelay::processEndOfBody(EventReader& reader) -> Step
{
    TokenEvent event;
    return reader.endOfBody(event) == EventReader::Status::Event ? acceptEnd(event) : Step::NeedMore;
}

auto DecodeRelay::acceptEnd(const TokenEvent& event) -> Step
{
    if (m_sequence.acceptEnd(event.index) == TokenCheckResult::Next)
        return Step::Complete;
    m_fault = "the stream ended at token " + std::to_string(event.index) + " of " + std::to_string(tokens());
    return Step::Faulty;
}

auto DecodeRelay::processChunk(std::string_view chunk, EventReader& reader) -> Step
{
    reader.feed(chunk);
    m_now = monotonicNow();
    TokenEvent event;
    while (true) {
        const auto status = reader.next(event);
        if (status == EventReader::Status::NeedMore)
            return Step::NeedMore;
        if (status == EventReader::Status::Malformed) {
            m_fault = "malformed token event";
            return Step::Faulty;
        }
        if (event.isDone)
            return acceptEnd(event);
        if (!acceptToken(event))
            return Step::Faulty;
    }
}

auto DecodeRelay::acceptToken(const TokenEvent& event) -> bool
{
    const auto verdict = m_sequence.acceptToken(event.index);
    if (verdict == TokenCheckResult::Duplicate)
        return true;
    if (verdict != TokenCheckResult::Next || !m_machine.apply(RequestTransition::TokenSent)) {
        m_fault = "token " + std::to_string(event.index) + " came where " + std::to_string(tokens()) + " was expected";
        return false;
    }
    m_writer.addToken(event.text);
    m_metrics.tokens.fetch_add(1, std::memory_order_relaxed);
    const auto pause = m_now - m_lastToken;
    auto& histogram = m_hasSentTokens ? m_metrics.tokenGap : m_metrics.firstToken;
    histogram.record(pause);
    if (m_hasSentTokens)
        m_longestTokenGap = std::max(m_longestTokenGap, pause);
    else
        m_timeToFirstToken = pause;
    m_hasSentTokens = true;
    m_lastToken = m_now;
    return true;
}

}

#include "DecodeRelay.h"

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Tokens between two reports to the decision code, which uses them to learn output lengths and
/// does not need every single one.
constexpr std::uint32_t reportedTokens = 32;

}

DecodeRelay::DecodeRelay(AnswerWriter& writer, RequestMachine& machine, ServiceMetrics& metrics, EntryTimeouts timeouts, TimePoint arrivedAt, TokenSequence sequence, std::uint32_t tokensPerEvent)
    : m_writer(writer)
    , m_machine(machine)
    , m_metrics(metrics)
    , m_timeouts(timeouts)
    , m_reportInterval(std::max(reportedTokens / std::max(tokensPerEvent, 1U), 1U))
    , m_sequence(sequence)
    , m_lastToken(arrivedAt)
{
}

auto DecodeRelay::run(HttpStream& stream, EventReader& reader, Observer observer) -> asio::awaitable<RelayOutcome>
{
    auto hasStarted = false;
    auto reported = tokens();
    while (true) {
        const auto timeout = hasStarted ? m_timeouts.stall : m_timeouts.firstToken;
        const auto piece = co_await stream.readSome(timeout);
        if (piece.has_error())
            co_return RelayOutcome { engineErrorOf(piece.error()) };
        const auto before = tokens();
        const auto step = piece->empty() ? takeEndOfBody(reader) : takePiece(*piece, reader);
        if (piece->empty() && step == Step::NeedMore)
            co_return RelayOutcome { EngineError { FailureKind::ConnectionLost, "the stream ended before the answer was complete" } };
        if (!hasStarted && tokens() > before) {
            hasStarted = true;
            observer.onStarted();
        }
        // Tokens before a faulty event are good and are not asked for again.
        const auto isFlushed = co_await m_writer.flush();
        if (!isFlushed)
            co_return RelayOutcome { .isCallerGone = true };
        if (step == Step::Faulty)
            co_return RelayOutcome { EngineError { FailureKind::ServerError, m_fault } };
        if (step == Step::Complete)
            co_return RelayOutcome {};
        if (tokens() - reported >= m_reportInterval) {
            reported = tokens();
            observer.onTokens(reported);
        }
    }
}

auto DecodeRelay::takeEndOfBody(EventReader& reader) -> Step
{
    TokenEvent event;
    return reader.endOfBody(event) == EventReader::Status::Event ? takeEnd(event) : Step::NeedMore;
}

auto DecodeRelay::takeEnd(const TokenEvent& event) -> Step
{
    if (m_sequence.takeEnd(event.index) == TokenVerdict::Next)
        return Step::Complete;
    m_fault = "the stream ended at token " + std::to_string(event.index) + " of " + std::to_string(tokens());
    return Step::Faulty;
}

auto DecodeRelay::takePiece(std::string_view piece, EventReader& reader) -> Step
{
    reader.feed(piece);
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
            return takeEnd(event);
        if (!takeToken(event))
            return Step::Faulty;
    }
}

auto DecodeRelay::takeToken(const TokenEvent& event) -> bool
{
    const auto verdict = m_sequence.takeToken(event.index);
    if (verdict == TokenVerdict::Repeated)
        return true;
    if (verdict != TokenVerdict::Next || !m_machine.apply(RequestStep::TokenSent)) {
        m_fault = "token " + std::to_string(event.index) + " came where " + std::to_string(tokens()) + " was expected";
        return false;
    }
    m_writer.addToken(event.text);
    m_metrics.tokens.fetch_add(1, std::memory_order_relaxed);
    const auto pause = m_now - m_lastToken;
    auto& histogram = m_hasSent ? m_metrics.tokenGap : m_metrics.firstToken;
    histogram.record(pause);
    if (m_hasSent)
        m_longestGap = std::max(m_longestGap, pause);
    else
        m_firstTokenTime = pause;
    m_hasSent = true;
    m_lastToken = m_now;
    return true;
}

}

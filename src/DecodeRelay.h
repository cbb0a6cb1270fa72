#pragma once

/// Relays the token events of decode streams to a caller. One relay serves all attempts of a request, so
/// that the check of the token indices covers the complete response.

#include "EngineError.h"
#include "EntryTimeouts.h"
#include "EventReader.h"
#include "HttpStream.h"
#include "RelayResult.h"
#include "RequestStateMachine.h"
#include "ResponseWriter.h"
#include "ServiceMetrics.h"
#include "TokenSequence.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <functional>

namespace jayhold {

class DecodeRelay {
public:
    struct Observer {
        /// Called when the engine has sent the first token of this attempt.
        std::function<void()> onStarted;
        /// Called after a batch of tokens, with the number of tokens that the caller has been sent so far.
        std::function<void(std::uint32_t)> onTokens;
        /// @return whether another attempt has replaced this one. Its tokens are not relayed any more, but its end still
        /// completes the response.
        std::function<bool()> isReplaced;
    };

    /// @param arrivedAt arrival time of the request, for the metrics.
    /// @param sequence the tokens that the caller already has.
    DecodeRelay(ResponseWriter& writer, RequestStateMachine& machine, ServiceMetrics& metrics, EntryTimeouts timeouts, TimePoint arrivedAt, TokenSequence sequence = TokenSequence(), std::uint32_t tokensPerEvent = 1);

    /// Relays the stream of one attempt until it ends. An attempt that is replaced may wait here while the next one is
    /// relayed, as long as the next one has brought no token.
    auto run(HttpStream& stream, EventReader& reader, Observer observer) -> boost::asio::awaitable<RelayResult>;

    /// @return the number of tokens that the caller has, including those of an earlier response that this
    /// one resumes. An event that carries several tokens counts as one.
    auto tokens() const -> std::uint32_t { return m_sequence.count(); }
    /// @return the number of tokens that the caller had before the last one of this response.
    auto tokensBeforeLast() const -> std::uint32_t { return m_tokensBeforeLast; }
    /// @return whether a token of this response was sent to the caller.
    auto hasSentTokens() const -> bool { return m_hasSentTokens; }
    /// @return the time from the arrival of the request to the first token of this response; zero before
    /// the first token.
    auto timeToFirstToken() const -> Duration { return m_timeToFirstToken; }
    /// @return whether an attempt is sending tokens to the caller, so that no other one may.
    auto isSending() const -> bool { return m_isSending; }
    /// @return since when the relay has waited for the engine's next token; now if it is sending tokens to the
    /// caller, whose slow reading is not the engine's silence.
    auto waitingSince() const -> TimePoint { return m_isSending ? monotonicNow() : std::max(m_lastTokenAt, m_sentAt); }
    /// @return the longest time between two consecutive tokens of this response.
    auto longestTokenGap() const -> Duration { return m_longestTokenGap; }

private:
    enum class ParseResult {
        /// The next event is incomplete.
        NeedMore,
        /// The last event of the stream was read.
        Complete,
        /// The engine sent an invalid event.
        Invalid,
    };

    /// What the check of one attempt's events needs.
    struct AttemptState {
        EventReader& reader;
        /// Whether the caller had tokens of this response before the attempt.
        bool isResumed = false;
        /// Number of tokens up to the last one that the attempt has sent; 0 before the first.
        std::uint32_t receivedTokens = 0;
        /// Whether one of its events was new.
        bool hasContinued = false;
        /// Whether the body has ended without an event, although the attempt resumes a response.
        bool isEmpty = false;
        std::string errorDetail = {};
    };

    auto processChunk(std::string_view chunk, AttemptState& attempt) -> ParseResult;
    auto processEndOfBody(AttemptState& attempt) -> ParseResult;
    /// Looks for nothing but the end of the response.
    auto processReplaced(std::string_view chunk, AttemptState& attempt) -> ParseResult;
    auto acceptEnd(const TokenEvent& event, AttemptState& attempt) -> ParseResult;
    auto acceptToken(const TokenEvent& event, AttemptState& attempt) -> bool;
    /// @return whether a resumed response continues after the last token. Indices that only increase don't show a
    /// gap by themselves, but the steps between the earlier ones do.
    auto continuesResponse(std::uint32_t index) const -> bool;
    auto recordStep(std::uint32_t step) -> void;

    ResponseWriter& m_writer;
    RequestStateMachine& m_machine;
    ServiceMetrics& m_metrics;
    const EntryTimeouts m_timeouts;
    /// Number of events between two progress reports to the decision code.
    const std::uint32_t m_reportIntervalEvents;
    TokenSequence m_sequence;
    std::uint32_t m_tokensBeforeLast = 0;
    bool m_hasSentTokens = false;
    /// Largest step between two indices until one is known.
    const std::uint32_t m_assumedStep = 1;
    /// Differences between consecutive indices of this response; 0 before the second token.
    std::uint32_t m_smallestStep = 0;
    std::uint32_t m_largestStep = 0;
    /// Time of the last token; the arrival time of the request before the first token.
    TimePoint m_lastTokenAt;
    TimePoint m_now {};
    bool m_isSending = false;
    /// When the tokens of the last part were sent to the caller.
    TimePoint m_sentAt {};
    Duration m_timeToFirstToken {};
    Duration m_longestTokenGap {};
};

}

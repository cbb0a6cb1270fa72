#pragma once

/// Relays the token events of decode streams to a caller. It outlives the single attempts, so that
/// the check of the token indices covers the whole answer.

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

#include <functional>

namespace jayhold {

class DecodeRelay {
public:
    struct Observer {
        /// The engine has sent the first token of this attempt.
        std::function<void()> onStarted;
        /// The caller has been sent so many tokens; called for batches.
        std::function<void(std::uint32_t)> onTokens;
    };

    /// @param arrivedAt when the request arrived, for the metrics.
    /// @param sequence the tokens that the caller has already.
    DecodeRelay(ResponseWriter& writer, RequestStateMachine& machine, ServiceMetrics& metrics, EntryTimeouts timeouts, TimePoint arrivedAt, TokenSequence sequence = TokenSequence(), std::uint32_t tokensPerEvent = 1);

    /// Relays one attempt until its end.
    auto run(HttpStream& stream, EventReader& reader, Observer observer) -> boost::asio::awaitable<RelayResult>;

    /// @return tokens that the caller has, those of an earlier answer that it resumes included.
    auto tokens() const -> std::uint32_t { return m_sequence.count(); }
    /// @return whether the caller has got a token of this answer.
    auto hasSentTokens() const -> bool { return m_hasSentTokens; }
    /// @return from the request's arrival to the first token of this answer; zero before it.
    auto timeToFirstToken() const -> Duration { return m_timeToFirstToken; }
    /// @return the longest pause between two tokens of this answer.
    auto longestTokenGap() const -> Duration { return m_longestTokenGap; }

private:
    enum class ParseResult {
        /// The reader has no further event.
        NeedMore,
        /// The last event of the answer was read.
        Complete,
        /// The engine's events are faulty.
        Invalid,
    };

    auto processChunk(std::string_view chunk, EventReader& reader) -> ParseResult;
    auto processEndOfBody(EventReader& reader) -> ParseResult;
    auto acceptEnd(const TokenEvent& event) -> ParseResult;
    auto acceptToken(const TokenEvent& event) -> bool;

    ResponseWriter& m_writer;
    RequestStateMachine& m_machine;
    ServiceMetrics& m_metrics;
    const EntryTimeouts m_timeouts;
    /// Events between two reports to the decision code.
    const std::uint32_t m_reportIntervalEvents;
    TokenSequence m_sequence;
    bool m_hasSentTokens = false;
    /// When the caller's last token left, or the request arrived.
    TimePoint m_lastTokenAt;
    TimePoint m_now {};
    Duration m_timeToFirstToken {};
    Duration m_longestTokenGap {};
    std::string m_errorDetail;
};

}

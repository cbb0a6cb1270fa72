#pragma once

/// Parses the response to a completion call, streamed or not, and detects its end.

#include <cstdint>
#include <string>
#include <string_view>

namespace jayhold {

/// Whether a rejected call ran, according to the error.
enum class ExecutionStatus {
    NotRun,
    Unknown,
    /// The response is not a typed refusal, or does not state it.
    Unstated,
};

struct Refusal {
    ExecutionStatus ran = ExecutionStatus::Unstated;
    /// 0 if absent.
    std::int64_t retryAfterMilliseconds = 0;
};

/// Parses a refusal from an error body or an error event.
auto parseRefusal(std::string_view body) -> Refusal;

/// Extracts the text of a completion that is not streamed.
/// @return false if the body is not a completion.
auto parseCompletionBody(std::string_view body, std::string& text) -> bool;

/// Parses a stream of completion chunks.
class CompletionReader {
public:
    /// Appends the next chunk of the body and parses the events that it completes.
    /// @return number of tokens in these events.
    auto append(std::string_view chunk) -> std::int64_t;

    auto text() const -> const std::string& { return m_text; }
    auto tokens() const -> std::int64_t { return m_tokens; }
    /// Number of `data: [DONE]` events; more than one means that the response was sent twice.
    auto doneEvents() const -> std::int64_t { return m_doneEvents; }
    /// The body of an error event, or empty.
    auto error() const -> const std::string& { return m_error; }

private:
    auto handleEvent(std::string_view event) -> void;

    std::string m_buffer;
    std::string m_text;
    std::string m_error;
    std::int64_t m_tokens = 0;
    std::int64_t m_doneEvents = 0;
};

}

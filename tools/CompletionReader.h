#pragma once

/// Collects the answer to one completion call, streamed or whole, and recognises its end.

#include <cstdint>
#include <string>
#include <string_view>

namespace jayhold {

/// What a refusal says about the call.
enum class ExecutionStatus {
    NotRun,
    Unknown,
    /// The answer is no typed refusal.
    Unstated,
};

struct Refusal {
    ExecutionStatus ran = ExecutionStatus::Unstated;
    /// 0 where none is given.
    std::int64_t retryAfterMilliseconds = 0;
};

/// Reads a refusal out of an error body or an error event.
auto parseRefusal(std::string_view body) -> Refusal;

/// Reads the text out of a whole completion.
/// @return false where the body has another form.
auto parseCompletionBody(std::string_view body, std::string& text) -> bool;

/// Takes apart a stream of completion chunks.
class CompletionReader {
public:
    /// Takes the next piece of the body.
    /// @return tokens that it completed.
    auto append(std::string_view chunk) -> std::int64_t;

    auto text() const -> const std::string& { return m_text; }
    auto tokens() const -> std::int64_t { return m_tokens; }
    /// How often `data: [DONE]` arrived; more than once is an answer given twice.
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

#pragma once

/// Renders answers in the shape that the client libraries of callers expect. The constant parts of
/// a request's stream chunks are rendered once, because a chunk is sent for every token.

#include "CompletionRequest.h"
#include "CompletionUsage.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jayhold {

class CompletionFormat {
public:
    /// @param id identifier of the answer.
    /// @param created seconds since the Unix epoch.
    CompletionFormat(CompletionApi api, std::string_view id, std::string_view model, std::int64_t created);

    /// Appends the chunk with one token's text.
    /// @param isFirst whether no chunk has been sent yet.
    auto appendToken(std::string& output, std::string_view text, bool isFirst) const -> void;
    /// Appends the chunk that states why the answer ends.
    auto appendFinish(std::string& output, std::string_view finishReason) const -> void;
    /// Appends the chunk with the usage.
    auto appendUsage(std::string& output, const CompletionUsage& usage) const -> void;
    /// @return the whole answer as one JSON document.
    auto completeDocument(std::string_view text, std::string_view finishReason, const CompletionUsage& usage) const -> std::string;

private:
    const CompletionApi m_api;
    /// Fields that every object of the answer has, without the opening brace.
    const std::string m_common;
    /// Beginning of a chunk up to the text, and its end.
    const std::string m_chunkStart;
    std::string_view m_chunkEnd;
};

/// The event that ends a complete stream.
inline constexpr std::string_view streamEnd = "data: [DONE]\n\n";

}

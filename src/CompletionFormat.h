#pragma once

/// Serializes responses in the JSON format that the client libraries of callers expect. The constant
/// parts of a stream's chunks are serialized once, because a chunk is sent for every token.

#include "CompletionRequest.h"
#include "CompletionUsage.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jayhold {

class CompletionFormat {
public:
    /// @param id identifier of the response.
    /// @param created seconds since the Unix epoch.
    CompletionFormat(CompletionApi api, std::string_view id, std::string_view model, std::int64_t created);

    /// Appends the chunk with one token's text.
    /// @param isFirst whether no chunk has been sent yet.
    auto appendToken(std::string& output, std::string_view text, bool isFirst) const -> void;
    /// Appends the chunk with the finish reason.
    auto appendFinish(std::string& output, std::string_view finishReason) const -> void;
    /// Appends the chunk with the token usage.
    auto appendUsage(std::string& output, const CompletionUsage& usage) const -> void;
    /// @return the complete response as one JSON document.
    auto completeDocument(std::string_view text, std::string_view finishReason, const CompletionUsage& usage) const -> std::string;

private:
    const CompletionApi m_api;
    /// Fields that every JSON object of the response has, without the opening brace.
    const std::string m_common;
    /// The parts of a chunk before and after the token's text.
    const std::string m_chunkStart;
    std::string_view m_chunkEnd;
};

/// The event that ends a complete stream.
inline constexpr std::string_view streamEnd = "data: [DONE]\n\n";

}

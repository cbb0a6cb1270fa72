#pragma once

/// A caller's completion request, in one form for both completion endpoints.

#include "ApiError.h"

#include <boost/system/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jayhold {

enum class CompletionApi {
    /// POST /v1/completions
    Text,
    /// POST /v1/chat/completions
    Chat,
};

struct CompletionRequest {
    CompletionApi api = CompletionApi::Text;
    /// Model that the caller names; empty if it names none.
    std::string model;
    std::string prompt;
    /// Maximum number of output tokens; 0 if the caller leaves it to the service.
    std::uint32_t maxTokens = 0;
    bool isStream = false;
    /// Whether a stream ends with a chunk that contains the token usage.
    bool includesUsage = false;
};

template <typename Value>
using ApiResult = boost::system::result<Value, ApiError>;

// NOLINTNEXTLINE(readability-identifier-naming): Boost.System looks the function up by this name.
[[noreturn]] auto throw_exception_from_error(const ApiError& error, const boost::source_location&) -> void;

/// Parses the body of a completion request. Options that change the output and that no engine supports
/// are refused rather than ignored.
auto parseCompletionRequest(CompletionApi api, std::string_view body) -> ApiResult<CompletionRequest>;

}

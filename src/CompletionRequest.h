#pragma once

/// A completion request of a caller, checked and in one form for both endpoints.

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
    /// Model that the caller names; empty where it names none.
    std::string model;
    std::string prompt;
    /// Most tokens that the caller accepts; 0 where it leaves that to the service.
    std::uint32_t maxTokens = 0;
    bool isStream = false;
    /// Whether a stream ends with a chunk that carries the usage.
    bool includesUsage = false;
};

template <typename Value>
using ApiResult = boost::system::result<Value, ApiError>;

// NOLINTNEXTLINE(readability-identifier-naming): Boost.System looks the function up by this name.
[[noreturn]] auto throw_exception_from_error(const ApiError& error, const boost::source_location&) -> void;

/// Parses the body of a completion request. Options that change the answer and that no engine
/// supports are refused rather than ignored.
auto parseCompletionRequest(CompletionApi api, std::string_view body) -> ApiResult<CompletionRequest>;

}

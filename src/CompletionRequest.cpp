#include "CompletionRequest.h"

#include <boost/json/parse.hpp>

#include <optional>
#include <stdexcept>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr std::int64_t maxTokenCount = 1U << 24U;

auto invalid(std::string message) -> ApiError
{
    return { 400, "invalid_request", std::move(message) };
}

auto readText(const json::object& object, std::string_view key) -> ApiResult<std::string>
{
    const auto* value = object.if_contains(key);
    if (!value || value->is_null())
        return std::string {};
    const auto* text = value->if_string();
    if (!text)
        return invalid(std::string(key) + " must be a string");
    return std::string(*text);
}

auto readFlag(const json::object& object, std::string_view key) -> ApiResult<bool>
{
    const auto* value = object.if_contains(key);
    if (!value || value->is_null())
        return false;
    if (!value->is_bool())
        return invalid(std::string(key) + " must be true or false");
    return value->get_bool();
}

auto readCount(const json::object& object, std::string_view key) -> ApiResult<std::uint32_t>
{
    const auto* value = object.if_contains(key);
    if (!value || value->is_null())
        return 0U;
    boost::system::error_code code;
    const auto count = value->to_number<std::int64_t>(code);
    if (code || count < 1 || count > maxTokenCount)
        return invalid(std::string(key) + " must be a whole number of at least 1");
    return static_cast<std::uint32_t>(count);
}

/// Refuses an option unless it is absent or 1, the only value that the engines support.
auto requireOne(const json::object& object, std::string_view key) -> ApiResult<bool>
{
    const auto* value = object.if_contains(key);
    if (!value || value->is_null())
        return true;
    boost::system::error_code code;
    if (value->to_number<std::int64_t>(code) != 1 || code)
        return invalid("only " + std::string(key) + " = 1 is supported");
    return true;
}

auto readPrompt(const json::object& object) -> ApiResult<std::string>
{
    const auto* value = object.if_contains("prompt");
    if (!value)
        return invalid("prompt is required");
    if (const auto* list = value->if_array()) {
        if (list->size() != 1)
            return invalid("exactly one prompt is supported");
        value = &list->front();
    }
    const auto* text = value->if_string();
    if (!text || text->empty())
        return invalid("prompt must be a string that is not empty");
    return std::string(*text);
}

auto appendContent(const json::value& content, std::string& prompt) -> bool
{
    if (const auto* text = content.if_string()) {
        prompt += *text;
        return true;
    }
    const auto* parts = content.if_array();
    if (!parts)
        return false;
    for (const auto& part : *parts) {
        const auto* object = part.if_object();
        const auto* text = object ? object->if_contains("text") : nullptr;
        if (!text || !text->is_string())
            return false;
        prompt += text->get_string();
    }
    return true;
}

/// Formats the conversation as `role: content` lines, which is the engines' chat template.
auto readMessages(const json::object& object) -> ApiResult<std::string>
{
    const auto* value = object.if_contains("messages");
    const auto* messages = value ? value->if_array() : nullptr;
    if (!messages || messages->empty())
        return invalid("messages must be an array that is not empty");
    std::string prompt;
    for (const auto& item : *messages) {
        const auto* message = item.if_object();
        const auto* role = message ? message->if_contains("role") : nullptr;
        const auto* content = message ? message->if_contains("content") : nullptr;
        if (!role || !role->is_string() || !content)
            return invalid("each message needs role and content");
        prompt += role->get_string();
        prompt += ": ";
        if (!appendContent(*content, prompt))
            return invalid("only text content is supported");
        prompt += '\n';
    }
    return prompt + "assistant:";
}

auto readUsageOption(const json::object& object) -> ApiResult<bool>
{
    const auto* value = object.if_contains("stream_options");
    if (!value || value->is_null())
        return false;
    const auto* options = value->if_object();
    if (!options)
        return invalid("stream_options must be an object");
    return readFlag(*options, "include_usage");
}

template <typename Value>
auto assign(Value& target, ApiResult<Value> result, std::optional<ApiError>& error) -> void
{
    if (result.has_value())
        target = std::move(*result);
    else if (!error)
        error = result.error();
}

}

auto throw_exception_from_error(const ApiError& error, const boost::source_location&) -> void
{
    throw std::logic_error("value taken from a failed result: " + error.message);
}

auto parseCompletionRequest(CompletionApi api, std::string_view body) -> ApiResult<CompletionRequest>
{
    boost::system::error_code code;
    const auto value = json::parse(body, code);
    if (code)
        return ApiError { 400, "malformed_json", "the body is not valid JSON: " + code.message() };
    const auto* object = value.if_object();
    if (!object)
        return invalid("the body must be a JSON object");
    CompletionRequest request { .api = api };
    std::optional<ApiError> error;
    bool isSupported = true;
    assign(request.model, readText(*object, "model"), error);
    assign(request.prompt, api == CompletionApi::Chat ? readMessages(*object) : readPrompt(*object), error);
    assign(request.maxTokens, readCount(*object, "max_tokens"), error);
    if (api == CompletionApi::Chat && request.maxTokens == 0)
        assign(request.maxTokens, readCount(*object, "max_completion_tokens"), error);
    assign(request.isStream, readFlag(*object, "stream"), error);
    assign(request.includesUsage, readUsageOption(*object), error);
    assign(isSupported, requireOne(*object, "n"), error);
    assign(isSupported, requireOne(*object, "best_of"), error);
    if (error)
        return std::move(*error);
    return request;
}

}

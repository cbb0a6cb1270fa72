#include "CompletionFormat.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/serializer.hpp>
#include <boost/json/value.hpp>

#include <array>

namespace jayhold {

namespace json = boost::json;

namespace {

auto quoted(std::string_view text) -> std::string
{
    return json::serialize(json::value(text));
}

auto appendQuoted(std::string& output, std::string_view text) -> void
{
    json::serializer serializer;
    serializer.reset(json::string_view(text));
    std::array<char, 512> buffer {};
    while (!serializer.done())
        output += std::string_view(serializer.read(buffer.data(), buffer.size()));
}

auto commonFields(std::string_view id, std::string_view model, std::int64_t created) -> std::string
{
    return R"("id":)" + quoted(id) + R"(,"created":)" + std::to_string(created) + R"(,"model":)" + quoted(model);
}

auto chunkStart(CompletionApi api, const std::string& common) -> std::string
{
    const auto isChat = api == CompletionApi::Chat;
    return std::string(R"(data: {"object":")") + (isChat ? "chat.completion.chunk" : "text_completion") + R"(",)" + common
        + (isChat ? R"(,"choices":[{"index":0,"delta":{)" : R"(,"choices":[{"index":0,"text":)");
}

auto usageJson(const CompletionUsage& usage) -> std::string
{
    const json::object fields {
        { "prompt_tokens", usage.promptTokens },
        { "completion_tokens", usage.completionTokens },
        { "total_tokens", usage.promptTokens + usage.completionTokens },
        { "prompt_tokens_details", json::object { { "cached_tokens", usage.cachedTokens } } },
    };
    return json::serialize(fields);
}

}

CompletionFormat::CompletionFormat(CompletionApi api, std::string_view id, std::string_view model, std::int64_t created)
    : m_api(api)
    , m_common(commonFields(id, model, created))
    , m_chunkStart(chunkStart(api, m_common))
    , m_chunkEnd(api == CompletionApi::Chat ? "},\"finish_reason\":null}]}\n\n" : ",\"logprobs\":null,\"finish_reason\":null}]}\n\n")
{
}

auto CompletionFormat::appendToken(std::string& output, std::string_view text, bool isFirst) const -> void
{
    output += m_chunkStart;
    if (m_api == CompletionApi::Chat)
        output += isFirst ? R"("role":"assistant","content":)" : R"("content":)";
    appendQuoted(output, text);
    output += m_chunkEnd;
}

auto CompletionFormat::appendFinish(std::string& output, std::string_view finishReason) const -> void
{
    output += m_chunkStart;
    output += m_api == CompletionApi::Chat ? R"(},"finish_reason":)" : R"("","logprobs":null,"finish_reason":)";
    output += quoted(finishReason);
    output += "}]}\n\n";
}

auto CompletionFormat::appendUsage(std::string& output, const CompletionUsage& usage) const -> void
{
    output += m_api == CompletionApi::Chat ? R"(data: {"object":"chat.completion.chunk",)" : R"(data: {"object":"text_completion",)";
    output += m_common;
    output += R"(,"choices":[],"usage":)" + usageJson(usage) + "}\n\n";
}

auto CompletionFormat::completeDocument(std::string_view text, std::string_view finishReason, const CompletionUsage& usage) const -> std::string
{
    const auto isChat = m_api == CompletionApi::Chat;
    std::string output = isChat ? R"({"object":"chat.completion",)" : R"({"object":"text_completion",)";
    output += m_common;
    output += isChat ? R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)" : R"(,"choices":[{"index":0,"text":)";
    output += quoted(text);
    output += isChat ? R"(},"finish_reason":)" : R"(,"logprobs":null,"finish_reason":)";
    output += quoted(finishReason);
    output += R"(}],"usage":)" + usageJson(usage) + "}";
    return output;
}

}

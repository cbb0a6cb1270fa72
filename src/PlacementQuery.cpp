#include "PlacementQuery.h"

#include "JsonReader.h"
#include "LowerCase.h"
#include "PromptPartId.h"

#include <algorithm>

namespace jayhold {

namespace leaf = boost::leaf;

namespace {

constexpr NumberRange tokenRange { 0, 1e9 };
constexpr NumberRange millisecondRange { 1, 86'400'000 };

auto readTokens(JsonReader& reader, std::string_view key, std::uint32_t defaultValue) -> leaf::result<std::uint32_t>
{
    BOOST_LEAF_AUTO(tokens, reader.integer(key, tokenRange, defaultValue));
    return static_cast<std::uint32_t>(tokens);
}

/// @return the sum of the sizes of the parts.
auto readParts(JsonReader& reader, PlacementQuery& query) -> leaf::result<std::uint32_t>
{
    std::uint64_t sum = 0;
    BOOST_LEAF_AUTO(parts, reader.objects("prompt_parts"));
    for (auto& part : parts) {
        BOOST_LEAF_AUTO(id, part.string("id"));
        BOOST_LEAF_AUTO(tokens, readTokens(part, "tokens", 0));
        BOOST_LEAF_CHECK(part.finish());
        query.promptParts.push_back(promptPartId(id));
        sum += tokens;
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(sum, static_cast<std::uint64_t>(tokenRange.high)));
}

auto checkTarget(const JsonReader& reader, const PlacementQuery& query) -> leaf::result<void>
{
    const auto hasRoute = !query.host.empty() && !query.path.empty();
    if (hasRoute == !query.service.empty() || query.host.empty() != query.path.empty())
        return leaf::new_error(ConfigError { ConfigErrorCode::MissingKey, reader.pathOf("service"), "either host and path or a service is required" });
    return {};
}

auto readQuery(JsonReader& reader) -> leaf::result<PlacementQuery>
{
    PlacementQuery query;
    BOOST_LEAF_AUTO(host, reader.string("host", ""));
    query.host = lowerCase(host);
    BOOST_LEAF_ASSIGN(query.path, reader.string("path", ""));
    BOOST_LEAF_ASSIGN(query.service, reader.string("service", ""));
    BOOST_LEAF_CHECK(checkTarget(reader, query));
    BOOST_LEAF_ASSIGN(query.kind, reader.string("kind", ""));
    BOOST_LEAF_ASSIGN(query.customer, reader.string("customer", ""));
    BOOST_LEAF_ASSIGN(query.requestId, reader.string("request_id", ""));
    BOOST_LEAF_AUTO(partTokens, readParts(reader, query));
    BOOST_LEAF_ASSIGN(query.promptTokens, readTokens(reader, "prompt_tokens", partTokens));
    BOOST_LEAF_ASSIGN(query.maxOutputTokens, readTokens(reader, "max_output_tokens", 0));
    BOOST_LEAF_ASSIGN(query.expectedOutputTokens, readTokens(reader, "expected_output_tokens", 0));
    if (reader.has("deadline_ms")) {
        BOOST_LEAF_AUTO(milliseconds, reader.integer("deadline_ms", millisecondRange));
        query.deadline = std::chrono::milliseconds(milliseconds);
    }
    BOOST_LEAF_CHECK(reader.finish());
    return query;
}

}

auto parsePlacementQuery(std::string_view text) -> leaf::result<PlacementQuery>
{
    BOOST_LEAF_AUTO(value, parseJsonObject(text));
    JsonReader reader(value.get_object(), "$");
    return readQuery(reader);
}

}

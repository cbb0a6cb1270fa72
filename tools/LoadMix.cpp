#include "LoadMix.h"

#include "JsonReader.h"

namespace jayhold {

namespace leaf = boost::leaf;

namespace {

constexpr NumberRange tokenRange { 0, 1e6 };
constexpr NumberRange weightRange { 0, 1e6 };
constexpr NumberRange shareRange { 0, 1 };
constexpr NumberRange millisecondRange { 0, 86'400'000 };

auto readMilliseconds(JsonReader& reader, std::string_view key) -> leaf::result<std::chrono::milliseconds>
{
    BOOST_LEAF_AUTO(count, reader.integer(key, millisecondRange, 0));
    return std::chrono::milliseconds(count);
}

auto readModelFields(JsonReader& reader, LoadItem& item) -> leaf::result<void>
{
    BOOST_LEAF_ASSIGN(item.promptTokens, reader.integer("prompt_tokens", tokenRange, item.promptTokens));
    BOOST_LEAF_ASSIGN(item.sharedTokens, reader.integer("shared_tokens", tokenRange, item.sharedTokens));
    BOOST_LEAF_ASSIGN(item.maxTokens, reader.integer("max_tokens", tokenRange, item.maxTokens));
    BOOST_LEAF_ASSIGN(item.outputTokens, reader.integer("output_tokens", tokenRange, item.outputTokens));
    BOOST_LEAF_ASSIGN(item.marker, reader.string("marker", ""));
    BOOST_LEAF_ASSIGN(item.hasSamePrompt, reader.boolean("same_prompt", item.hasSamePrompt));
    BOOST_LEAF_ASSIGN(item.isStream, reader.boolean("stream", item.isStream));
    BOOST_LEAF_ASSIGN(item.cancelShare, reader.number("cancel_share", shareRange, item.cancelShare));
    return {};
}

auto readPlainFields(JsonReader& reader, LoadItem& item) -> leaf::result<void>
{
    BOOST_LEAF_ASSIGN(item.method, reader.string("method", item.method));
    BOOST_LEAF_ASSIGN(item.path, reader.string("path"));
    BOOST_LEAF_ASSIGN(item.hasIdempotencyKey, reader.boolean("idempotency_key", item.method != "GET"));
    item.isStream = false;
    return {};
}

auto readItem(JsonReader& reader) -> leaf::result<LoadItem>
{
    LoadItem item;
    BOOST_LEAF_ASSIGN(item.name, reader.string("name"));
    BOOST_LEAF_ASSIGN(item.weight, reader.number("weight", weightRange, item.weight));
    BOOST_LEAF_ASSIGN(item.service, reader.string("service"));
    BOOST_LEAF_ASSIGN(item.kind, reader.string("kind", ""));
    BOOST_LEAF_ASSIGN(item.key, reader.string("key"));
    BOOST_LEAF_ASSIGN(item.model, reader.string("model", ""));
    BOOST_LEAF_ASSIGN(item.firstTokenTarget, readMilliseconds(reader, "first_token_ms"));
    BOOST_LEAF_ASSIGN(item.tokenGapTarget, readMilliseconds(reader, "token_gap_ms"));
    BOOST_LEAF_ASSIGN(item.requestTimeout, readMilliseconds(reader, "request_timeout_ms"));
    if (item.model.empty())
        BOOST_LEAF_CHECK(readPlainFields(reader, item));
    else
        BOOST_LEAF_CHECK(readModelFields(reader, item));
    BOOST_LEAF_CHECK(reader.finish());
    return item;
}

}

auto parseLoadMix(std::string_view text) -> leaf::result<std::vector<LoadItem>>
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(text));
    JsonReader reader(parsed.get_object(), "$");
    BOOST_LEAF_AUTO(readers, reader.objects("items"));
    std::vector<LoadItem> items;
    for (auto& itemReader : readers) {
        BOOST_LEAF_AUTO(item, readItem(itemReader));
        items.push_back(std::move(item));
    }
    if (items.empty())
        return leaf::new_error(ConfigError { ConfigErrorCode::MissingKey, "$.items", "at least one item is required" });
    BOOST_LEAF_CHECK(reader.finish());
    return items;
}

}

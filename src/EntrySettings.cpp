#include "EntrySettings.h"

#include "JsonReader.h"

namespace jayhold {

namespace leaf = boost::leaf;

namespace {

constexpr NumberRange threadRange { 1, 256 };
constexpr NumberRange byteRange { 1'024, 1U << 30U };
constexpr NumberRange requestRange { 1, 1'000'000 };
constexpr NumberRange millisecondRange { 1, 86'400'000 };
constexpr NumberRange seedRange { 0, 9e15 };

auto addressError(std::string path, std::string_view text) -> leaf::error_id
{
    return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, std::move(path),
        "expected IP:PORT, found " + std::string(text) });
}

auto readEndpoint(JsonReader& reader, std::string_view key) -> leaf::result<HttpEndpoint>
{
    BOOST_LEAF_AUTO(text, reader.string(key));
    const auto endpoint = parseHttpEndpoint(text);
    if (!endpoint)
        return addressError(reader.pathOf(key), text);
    return *endpoint;
}

auto readOptionalEndpoint(JsonReader& reader, std::string_view key) -> leaf::result<std::optional<HttpEndpoint>>
{
    if (!reader.has(key))
        return std::optional<HttpEndpoint> {};
    BOOST_LEAF_AUTO(endpoint, readEndpoint(reader, key));
    return std::optional(endpoint);
}

auto elementPath(const JsonReader& reader, std::string_view key, std::size_t index) -> std::string
{
    return reader.pathOf(key) + "[" + std::to_string(index) + "]";
}

auto readEndpoints(JsonReader& reader, std::string_view key) -> leaf::result<std::vector<HttpEndpoint>>
{
    std::vector<HttpEndpoint> endpoints;
    BOOST_LEAF_AUTO(texts, reader.strings(key));
    for (const auto& text : texts) {
        const auto endpoint = parseHttpEndpoint(text);
        if (!endpoint || endpoint->port == 0)
            return addressError(elementPath(reader, key, endpoints.size()), text);
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

auto readDigests(JsonReader& reader, std::string_view key) -> leaf::result<std::vector<std::string>>
{
    BOOST_LEAF_AUTO(digests, reader.strings(key));
    for (std::size_t index = 0; index < digests.size(); ++index) {
        const auto& digest = digests[index];
        if (digest.size() != 64 || digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
            return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, elementPath(reader, key, index),
                "expected 64 lower-case hexadecimal digits" });
        }
    }
    return digests;
}

auto readMilliseconds(JsonReader& reader, std::string_view key, std::chrono::milliseconds defaultValue) -> leaf::result<std::chrono::milliseconds>
{
    BOOST_LEAF_AUTO(count, reader.integer(key, millisecondRange, defaultValue.count()));
    return std::chrono::milliseconds(count);
}

auto readSize(JsonReader& reader, std::string_view key, NumberRange range, std::size_t defaultValue) -> leaf::result<std::size_t>
{
    BOOST_LEAF_AUTO(count, reader.integer(key, range, static_cast<std::int64_t>(defaultValue)));
    return static_cast<std::size_t>(count);
}

auto readLimits(JsonReader& parent) -> leaf::result<EntryLimits>
{
    EntryLimits limits;
    if (!parent.has("limits"))
        return limits;
    BOOST_LEAF_AUTO(reader, parent.object("limits"));
    BOOST_LEAF_ASSIGN(limits.bodyBytes, readSize(reader, "body_bytes", byteRange, limits.bodyBytes));
    BOOST_LEAF_ASSIGN(limits.openRequests, readSize(reader, "open_requests", requestRange, limits.openRequests));
    BOOST_LEAF_CHECK(reader.finish());
    return limits;
}

auto readTimeouts(JsonReader& parent) -> leaf::result<EntryTimeouts>
{
    EntryTimeouts timeouts;
    if (!parent.has("timeouts"))
        return timeouts;
    BOOST_LEAF_AUTO(reader, parent.object("timeouts"));
    BOOST_LEAF_ASSIGN(timeouts.prefill, readMilliseconds(reader, "prefill_ms", timeouts.prefill));
    BOOST_LEAF_ASSIGN(timeouts.firstToken, readMilliseconds(reader, "first_token_ms", timeouts.firstToken));
    BOOST_LEAF_ASSIGN(timeouts.stall, readMilliseconds(reader, "stall_ms", timeouts.stall));
    BOOST_LEAF_CHECK(reader.finish());
    return timeouts;
}

auto readLogLevel(JsonReader& reader) -> leaf::result<LogLevel>
{
    BOOST_LEAF_AUTO(text, reader.string("log_level", "info"));
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "info")
        return LogLevel::Info;
    if (text == "warning")
        return LogLevel::Warning;
    if (text == "error")
        return LogLevel::Error;
    return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, reader.pathOf("log_level"), "unknown level " + text });
}

auto readSettings(JsonReader& reader) -> leaf::result<EntrySettings>
{
    EntrySettings settings;
    BOOST_LEAF_ASSIGN(settings.instance, reader.string("instance"));
    BOOST_LEAF_ASSIGN(settings.availabilityZone, reader.string("availability_zone"));
    BOOST_LEAF_ASSIGN(settings.listen, readEndpoint(reader, "listen"));
    BOOST_LEAF_ASSIGN(settings.peerListen, readEndpoint(reader, "peer_listen"));
    BOOST_LEAF_ASSIGN(settings.peerAdvertise, readOptionalEndpoint(reader, "peer_advertise"));
    BOOST_LEAF_ASSIGN(settings.platform, readEndpoints(reader, "platform"));
    if (settings.platform.empty())
        return leaf::new_error(ConfigError { ConfigErrorCode::MissingKey, reader.pathOf("platform"), "at least one address is required" });
    BOOST_LEAF_ASSIGN(settings.seedPeers, readEndpoints(reader, "seed_peers"));
    BOOST_LEAF_ASSIGN(settings.peerKey, reader.string("peer_key"));
    BOOST_LEAF_ASSIGN(settings.operatorKeysSha256, readDigests(reader, "operator_keys_sha256"));
    BOOST_LEAF_ASSIGN(settings.threads, readSize(reader, "threads", threadRange, settings.threads));
    BOOST_LEAF_ASSIGN(settings.limits, readLimits(reader));
    BOOST_LEAF_ASSIGN(settings.timeouts, readTimeouts(reader));
    BOOST_LEAF_ASSIGN(settings.drainTimeout, readMilliseconds(reader, "drain_ms", settings.drainTimeout));
    BOOST_LEAF_AUTO(seed, reader.integer("seed", seedRange, 1));
    settings.seed = static_cast<std::uint64_t>(seed);
    BOOST_LEAF_ASSIGN(settings.logLevel, readLogLevel(reader));
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

}

auto parseEntrySettings(std::string_view text) -> leaf::result<EntrySettings>
{
    BOOST_LEAF_AUTO(value, parseJsonObject(text));
    JsonReader reader(value.get_object(), "$");
    return readSettings(reader);
}

}

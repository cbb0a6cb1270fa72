#include "Configuration.h"

#include "JsonReader.h"

namespace jayhold {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr NumberRange positiveRange { 1, 1e15 };
constexpr NumberRange weightRange { 0.001, 1'000 };
constexpr NumberRange burstRange { 0, 1'000'000 };
constexpr NumberRange fractionRange { 0, 1 };
constexpr NumberRange slotRange { 1, 100'000 };
constexpr NumberRange optionalMillisecondRange { 0, 86'400'000 };
constexpr NumberRange attemptRange { 1, 100 };
constexpr NumberRange millisecondRange { 1, 86'400'000 };

template <typename Item>
auto readList(JsonReader& reader, std::string_view key, leaf::result<Item> (*readItem)(JsonReader&)) -> leaf::result<std::vector<Item>>
{
    std::vector<Item> items;
    BOOST_LEAF_AUTO(readers, reader.objects(key));
    for (auto& itemReader : readers) {
        BOOST_LEAF_AUTO(item, readItem(itemReader));
        BOOST_LEAF_CHECK(itemReader.finish());
        items.push_back(std::move(item));
    }
    return items;
}

template <typename Enum>
auto readEnum(JsonReader& reader, std::string_view key, std::optional<Enum> (*parse)(std::string_view)) -> leaf::result<Enum>
{
    BOOST_LEAF_AUTO(text, reader.string(key));
    const auto value = parse(text);
    if (!value)
        return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, reader.pathOf(key), "unknown value " + text });
    return *value;
}

auto readDigest(JsonReader& reader) -> leaf::result<std::string>
{
    static constexpr std::string_view key = "key_sha256";
    BOOST_LEAF_AUTO(digest, reader.string(key));
    if (digest.size() != 64 || digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
        return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, reader.pathOf(key),
            "expected 64 lower-case hexadecimal digits" });
    }
    return digest;
}

auto readMilliseconds(JsonReader& reader, std::string_view key, std::chrono::milliseconds defaultValue) -> leaf::result<std::chrono::milliseconds>
{
    BOOST_LEAF_AUTO(count, reader.integer(key, millisecondRange, defaultValue.count()));
    return std::chrono::milliseconds(count);
}

auto readOperator(JsonReader& reader) -> leaf::result<OperatorKey>
{
    OperatorKey key;
    BOOST_LEAF_ASSIGN(key.name, reader.string("name"));
    BOOST_LEAF_ASSIGN(key.keySha256, readDigest(reader));
    return key;
}

auto readZone(JsonReader& reader) -> leaf::result<AvailabilityZone>
{
    AvailabilityZone zone;
    BOOST_LEAF_ASSIGN(zone.name, reader.string("name"));
    BOOST_LEAF_ASSIGN(zone.region, reader.string("region"));
    return zone;
}

auto readCustomer(JsonReader& reader) -> leaf::result<Customer>
{
    Customer customer;
    BOOST_LEAF_ASSIGN(customer.name, reader.string("name"));
    BOOST_LEAF_AUTO(digest, readDigest(reader));
    customer.keysSha256.push_back(std::move(digest));
    BOOST_LEAF_ASSIGN(customer.weight, reader.number("weight", weightRange, customer.weight));
    BOOST_LEAF_ASSIGN(customer.maxQueued, reader.integer("max_queued", positiveRange, customer.maxQueued));
    return customer;
}

auto readPool(JsonReader& reader) -> leaf::result<Pool>
{
    Pool pool;
    BOOST_LEAF_ASSIGN(pool.name, reader.string("name"));
    if (!reader.has("availability_zone")) {
        return leaf::new_error(ConfigError { ConfigErrorCode::MissingZone, reader.pathOf("availability_zone"),
            "the pool names no availability zone" });
    }
    BOOST_LEAF_ASSIGN(pool.availabilityZone, reader.string("availability_zone"));
    BOOST_LEAF_ASSIGN(pool.role, readEnum(reader, "role", parsePoolRole));
    BOOST_LEAF_ASSIGN(pool.slots, reader.integer("seats", slotRange, pool.slots));
    if (pool.role == PoolRole::Plain)
        return pool;
    BOOST_LEAF_ASSIGN(pool.memoryBlocks, reader.integer("memory_pieces", positiveRange, pool.memoryBlocks));
    BOOST_LEAF_ASSIGN(pool.memoryBlockTokens, reader.integer("piece_tokens", positiveRange, pool.memoryBlockTokens));
    BOOST_LEAF_ASSIGN(pool.linkBytesPerSecond, reader.integer("link_bytes_per_second", positiveRange, pool.linkBytesPerSecond));
    return pool;
}

auto readKind(JsonReader& reader) -> leaf::result<RequestKind>
{
    RequestKind kind;
    BOOST_LEAF_ASSIGN(kind.name, reader.string("name"));
    BOOST_LEAF_ASSIGN(kind.latencyClass, readEnum(reader, "class", parseLatencyClass));
    BOOST_LEAF_ASSIGN(kind.firstToken, readMilliseconds(reader, "first_token_ms", kind.firstToken));
    BOOST_LEAF_ASSIGN(kind.tokenGap, readMilliseconds(reader, "token_gap_ms", kind.tokenGap));
    BOOST_LEAF_ASSIGN(kind.deadline, readMilliseconds(reader, "deadline_ms", kind.deadline));
    BOOST_LEAF_AUTO(callerIdleTimeout, reader.integer("patience_ms", optionalMillisecondRange, kind.callerIdleTimeout.count()));
    kind.callerIdleTimeout = std::chrono::milliseconds(callerIdleTimeout);
    BOOST_LEAF_ASSIGN(kind.repeatable, reader.boolean("repeatable", kind.repeatable));
    BOOST_LEAF_ASSIGN(kind.maxAttempts, reader.integer("max_attempts", attemptRange, kind.maxAttempts));
    BOOST_LEAF_ASSIGN(kind.recorded, reader.boolean("recorded", kind.recorded));
    BOOST_LEAF_ASSIGN(kind.methods, reader.strings("methods"));
    BOOST_LEAF_ASSIGN(kind.pathPrefix, reader.string("path_prefix", ""));
    return kind;
}

auto readRetry(JsonReader& parent) -> leaf::result<RetryPolicy>
{
    RetryPolicy policy;
    if (!parent.has("retry"))
        return policy;
    BOOST_LEAF_AUTO(reader, parent.object("retry"));
    BOOST_LEAF_ASSIGN(policy.ratio, reader.number("ratio", fractionRange, policy.ratio));
    BOOST_LEAF_ASSIGN(policy.burst, reader.number("burst", burstRange, policy.burst));
    BOOST_LEAF_ASSIGN(policy.isShared, reader.boolean("shared", policy.isShared));
    BOOST_LEAF_ASSIGN(policy.countsRejections, reader.boolean("counts_rejections", policy.countsRejections));
    BOOST_LEAF_CHECK(reader.finish());
    return policy;
}

auto readTarget(JsonReader& reader) -> leaf::result<RouteTarget>
{
    RouteTarget target;
    BOOST_LEAF_ASSIGN(target.service, reader.string("service"));
    BOOST_LEAF_ASSIGN(target.weight, reader.integer("weight", positiveRange, target.weight));
    return target;
}

auto readRoute(JsonReader& reader) -> leaf::result<Route>
{
    Route route;
    BOOST_LEAF_ASSIGN(route.name, reader.string("name"));
    BOOST_LEAF_ASSIGN(route.host, reader.string("host"));
    BOOST_LEAF_ASSIGN(route.pathPrefix, reader.string("path_prefix"));
    BOOST_LEAF_ASSIGN(route.kind, reader.string("kind"));
    BOOST_LEAF_ASSIGN(route.targets, readList<RouteTarget>(reader, "targets", readTarget));
    return route;
}

auto readLimits(JsonReader& parent) -> leaf::result<CallerLimits>
{
    CallerLimits limits;
    if (!parent.has("limits"))
        return limits;
    BOOST_LEAF_AUTO(reader, parent.object("limits"));
    BOOST_LEAF_ASSIGN(limits.headerBytes, reader.integer("header_bytes", positiveRange, limits.headerBytes));
    BOOST_LEAF_ASSIGN(limits.bodyBytes, reader.integer("body_bytes", positiveRange, limits.bodyBytes));
    BOOST_LEAF_ASSIGN(limits.readTimeout, readMilliseconds(reader, "read_timeout_ms", limits.readTimeout));
    BOOST_LEAF_ASSIGN(limits.idleTimeout, readMilliseconds(reader, "idle_timeout_ms", limits.idleTimeout));
    BOOST_LEAF_CHECK(reader.finish());
    return limits;
}

auto readService(JsonReader& reader) -> leaf::result<Service>
{
    Service service;
    BOOST_LEAF_ASSIGN(service.name, reader.string("name"));
    BOOST_LEAF_ASSIGN(service.type, readEnum(reader, "type", parseServiceType));
    if (service.type == ServiceType::Model) {
        BOOST_LEAF_ASSIGN(service.model, reader.string("model"));
        BOOST_LEAF_ASSIGN(service.wastedPrefillWeight, reader.number("wasted_prefill_weight", fractionRange, service.wastedPrefillWeight));
        BOOST_LEAF_ASSIGN(service.checksFencing, reader.boolean("checks_fencing", service.checksFencing));
        BOOST_LEAF_ASSIGN(service.maxPromptTokens, reader.integer("max_prompt_tokens", positiveRange, service.maxPromptTokens));
        BOOST_LEAF_ASSIGN(service.maxOutputTokens, reader.integer("max_output_tokens", positiveRange, service.maxOutputTokens));
        BOOST_LEAF_ASSIGN(service.prefillResultTtl, readMilliseconds(reader, "prefill_kept_ms", service.prefillResultTtl));
        BOOST_LEAF_AUTO(roleChangeTime, reader.integer("role_change_ms", optionalMillisecondRange, service.roleChangeTime.count()));
        service.roleChangeTime = std::chrono::milliseconds(roleChangeTime);
        BOOST_LEAF_AUTO(slotReservationTime, reader.integer("seat_hold_ms", optionalMillisecondRange, service.slotReservationTime.count()));
        service.slotReservationTime = std::chrono::milliseconds(slotReservationTime);
        BOOST_LEAF_ASSIGN(service.tokensPerEvent, reader.integer("tokens_per_event", positiveRange, service.tokensPerEvent));
        BOOST_LEAF_ASSIGN(service.kvBytesPerToken, reader.integer("kv_bytes_per_token", positiveRange, service.kvBytesPerToken));
        BOOST_LEAF_ASSIGN(service.memoryQuantile, reader.number("memory_quantile", fractionRange, service.memoryQuantile));
        BOOST_LEAF_ASSIGN(service.decodeMayPrefill, reader.boolean("decode_may_prefill", service.decodeMayPrefill));
        BOOST_LEAF_ASSIGN(service.refuseOverdue, reader.boolean("send_back_late", service.refuseOverdue));
    }
    BOOST_LEAF_ASSIGN(service.retry, readRetry(reader));
    BOOST_LEAF_ASSIGN(service.pools, readList<Pool>(reader, "pools", readPool));
    BOOST_LEAF_ASSIGN(service.kinds, readList<RequestKind>(reader, "kinds", readKind));
    return service;
}

}

auto configurationFromJson(const json::value& value) -> leaf::result<Configuration>
{
    const auto* object = value.if_object();
    if (!object)
        return leaf::new_error(ConfigError { ConfigErrorCode::WrongType, "$", "expected an object" });
    JsonReader reader(*object, "$");
    Configuration configuration;
    BOOST_LEAF_ASSIGN(configuration.version, reader.integer("version", positiveRange));
    BOOST_LEAF_ASSIGN(configuration.operators, readList<OperatorKey>(reader, "operators", readOperator));
    BOOST_LEAF_ASSIGN(configuration.availabilityZones, readList<AvailabilityZone>(reader, "availability_zones", readZone));
    BOOST_LEAF_ASSIGN(configuration.customers, readList<Customer>(reader, "customers", readCustomer));
    BOOST_LEAF_ASSIGN(configuration.services, readList<Service>(reader, "services", readService));
    BOOST_LEAF_ASSIGN(configuration.routes, readList<Route>(reader, "routes", readRoute));
    BOOST_LEAF_ASSIGN(configuration.limits, readLimits(reader));
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_CHECK(validateConfiguration(configuration));
    return configuration;
}

auto parseConfiguration(std::string_view text) -> leaf::result<Configuration>
{
    BOOST_LEAF_AUTO(value, parseJsonObject(text));
    return configurationFromJson(value);
}

}

#include "Configuration.h"

#include "JsonText.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

auto toJson(const OperatorKey& key) -> json::value
{
    return json::object { { "name", key.name }, { "key_sha256", key.keySha256 } };
}

auto toJson(const AvailabilityZone& zone) -> json::value
{
    return json::object { { "name", zone.name }, { "region", zone.region } };
}

auto toJson(const Customer& customer) -> json::value
{
    return json::object {
        { "name", customer.name },
        { "key_sha256", customer.keysSha256.front() },
        { "weight", customer.weight },
        { "max_queued", customer.maxQueued },
    };
}

auto toJson(const Pool& pool) -> json::value
{
    json::object object {
        { "name", pool.name },
        { "availability_zone", pool.availabilityZone },
        { "role", name(pool.role) },
        { "seats", pool.slots },
    };
    if (pool.role != PoolRole::Plain) {
        object["memory_pieces"] = pool.memoryBlocks;
        object["piece_tokens"] = pool.memoryBlockTokens;
        object["link_bytes_per_second"] = pool.linkBytesPerSecond;
    }
    return object;
}

auto toJson(const RequestKind& kind) -> json::value
{
    json::object object {
        { "name", kind.name },
        { "class", name(kind.latencyClass) },
        { "first_token_ms", kind.firstToken.count() },
        { "token_gap_ms", kind.tokenGap.count() },
        { "deadline_ms", kind.deadline.count() },
        { "patience_ms", kind.callerIdleTimeout.count() },
        { "repeatable", kind.repeatable },
        { "max_attempts", kind.maxAttempts },
        { "recorded", kind.recorded },
    };
    if (!kind.methods.empty())
        object["methods"] = json::array(kind.methods.begin(), kind.methods.end());
    if (!kind.pathPrefix.empty())
        object["path_prefix"] = kind.pathPrefix;
    return object;
}

auto toJson(const Service& service) -> json::value;
auto toJson(const RouteTarget& target) -> json::value;
auto toJson(const Route& route) -> json::value;

template <typename Item>
auto toJson(const std::vector<Item>& items) -> json::array
{
    json::array array;
    for (const auto& item : items)
        array.push_back(toJson(item));
    return array;
}

auto toJson(const Service& service) -> json::value
{
    json::object object { { "name", service.name }, { "type", name(service.type) } };
    if (service.type == ServiceType::Model) {
        object["model"] = service.model;
        object["wasted_prefill_weight"] = service.wastedPrefillWeight;
        object["checks_fencing"] = service.checksFencing;
        object["max_prompt_tokens"] = service.maxPromptTokens;
        object["max_output_tokens"] = service.maxOutputTokens;
        object["prefill_kept_ms"] = service.prefillResultTtl.count();
        object["role_change_ms"] = service.roleChangeTime.count();
        object["seat_hold_ms"] = service.slotReservationTime.count();
        object["tokens_per_event"] = service.tokensPerEvent;
        object["kv_bytes_per_token"] = service.kvBytesPerToken;
        object["memory_quantile"] = service.memoryQuantile;
        object["decode_may_prefill"] = service.decodeMayPrefill;
        object["send_back_late"] = service.refuseOverdue;
    }
    object["retry"] = json::object {
        { "ratio", service.retry.ratio },
        { "burst", service.retry.burst },
        { "shared", service.retry.isShared },
        { "counts_rejections", service.retry.countsRejections },
    };
    object["pools"] = toJson(service.pools);
    object["kinds"] = toJson(service.kinds);
    return object;
}

auto toJson(const RouteTarget& target) -> json::value
{
    return json::object { { "service", target.service }, { "weight", target.weight } };
}

auto toJson(const Route& route) -> json::value
{
    return json::object {
        { "name", route.name },
        { "host", route.host },
        { "path_prefix", route.pathPrefix },
        { "kind", route.kind },
        { "targets", toJson(route.targets) },
    };
}

auto toJson(const CallerLimits& limits) -> json::value
{
    return json::object {
        { "header_bytes", limits.headerBytes },
        { "body_bytes", limits.bodyBytes },
        { "read_timeout_ms", limits.readTimeout.count() },
        { "idle_timeout_ms", limits.idleTimeout.count() },
    };
}

}

auto toJson(const Configuration& configuration) -> json::value
{
    return json::object {
        { "version", configuration.version },
        { "operators", toJson(configuration.operators) },
        { "availability_zones", toJson(configuration.availabilityZones) },
        { "customers", toJson(configuration.customers) },
        { "services", toJson(configuration.services) },
        { "routes", toJson(configuration.routes) },
        { "limits", toJson(configuration.limits) },
    };
}

auto printConfiguration(const Configuration& configuration) -> std::string
{
    return prettyJson(toJson(configuration));
}

}

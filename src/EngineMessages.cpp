#include "EngineMessages.h"

#include "JsonFields.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

auto commonFields(const EngineCall& call) -> json::object
{
    return {
        { "request_id", call.requestId },
        { "owner", call.owner },
        { "model", call.model },
        { "prompt", call.prompt },
        { "priority", call.priority },
    };
}

auto readHashes(const json::object& object, std::string_view key, std::vector<std::uint64_t>& hashes) -> bool
{
    const auto* value = object.if_contains(key);
    const auto* list = value ? value->if_array() : nullptr;
    if (!list)
        return false;
    for (const auto& item : *list) {
        boost::system::error_code code;
        hashes.push_back(item.to_number<std::uint64_t>(code));
        if (code)
            return false;
    }
    return true;
}

auto readHeld(const json::object& object, std::vector<HeldRequest>& held) -> bool
{
    const auto* value = object.if_contains("held");
    const auto* list = value ? value->if_array() : nullptr;
    if (!list)
        return false;
    for (const auto& item : *list) {
        const auto* entry = item.if_object();
        HeldRequest request;
        if (!entry || !readText(*entry, "request_id", request.requestId) || !readText(*entry, "owner", request.owner))
            return false;
        held.push_back(std::move(request));
    }
    return true;
}

}

auto serializePrefillCall(const EngineCall& call) -> std::string
{
    auto object = commonFields(call);
    object["deadline_ms"] = call.deadlineMs;
    return json::serialize(object);
}

auto serializeDecodeCall(const EngineCall& call) -> std::string
{
    auto object = commonFields(call);
    object["max_tokens"] = call.maxTokens;
    object["resume_from"] = call.resumeFrom;
    if (call.kv)
        object["kv"] = json::object { { "address", toString(call.kv->endpoint) }, { "handle", call.kv->handle } };
    else
        object["kv"] = nullptr;
    return json::serialize(object);
}

auto serializeCancelCall(std::string_view requestId) -> std::string
{
    return json::serialize(json::object { { "request_id", requestId } });
}

auto parsePrefillResult(std::string_view text) -> std::optional<PrefillResult>
{
    const auto object = parseObject(text);
    PrefillResult result;
    std::int64_t ttlMs = 0;
    if (!object || !readText(*object, "handle", result.handle) || !readNumber(*object, "prompt_tokens", result.promptTokens)
        || !readNumber(*object, "cached_tokens", result.cachedTokens) || !readNumber(*object, "kv_bytes", result.kvBytes)
        || !readNumber(*object, "kept_ms", ttlMs))
        return std::nullopt;
    result.ttl = std::chrono::milliseconds(ttlMs);
    return result;
}

auto parseEngineLoad(std::string_view text) -> std::optional<EngineLoad>
{
    const auto object = parseObject(text);
    EngineLoad load;
    if (!object || !readNumber(*object, "sequence", load.sequence) || !readNumber(*object, "running", load.running)
        || !readNumber(*object, "waiting", load.waiting) || !readNumber(*object, "free_pieces", load.freeMemoryBlocks)
        || !readHeld(*object, load.held))
        return std::nullopt;
    return load;
}

auto parseCacheEvents(std::string_view text) -> std::optional<EngineCacheEvents>
{
    const auto object = parseObject(text);
    const auto* value = object ? object->if_contains("events") : nullptr;
    const auto* list = value ? value->if_array() : nullptr;
    if (!list)
        return std::nullopt;
    EngineCacheEvents events;
    for (const auto& item : *list) {
        const auto* entry = item.if_object();
        if (!entry || !readNumber(*entry, "sequence", events.lastSequence) || !readHashes(*entry, "stored", events.stored)
            || !readHashes(*entry, "evicted", events.evicted))
            return std::nullopt;
        if (events.firstSequence == 0)
            events.firstSequence = events.lastSequence;
    }
    return events;
}

}

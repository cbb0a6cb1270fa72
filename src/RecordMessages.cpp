#include "RecordMessages.h"

#include <boost/json/object.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

auto toMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

auto text(const json::object& object, std::string_view key) -> std::string
{
    const auto* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

auto readRetryAfter(const json::object& object) -> Duration
{
    const auto* value = object.if_contains("retry_after_ms");
    return std::chrono::milliseconds(value && value->is_int64() ? value->get_int64() : 0);
}

struct DecisionSerializer {
    auto operator()(const RecordStarted&) const -> json::object { return { { "decision", "started" } }; }
    auto operator()(const RecordDone& done) const -> json::object { return { { "decision", "done" }, { "answer", responseToJson(done.response) } }; }
    auto operator()(const RecordInProgress& inProgress) const -> json::object { return { { "decision", "in_progress" }, { "retry_after_ms", toMilliseconds(inProgress.retryAfter) } }; }
    auto operator()(const RecordUnknown&) const -> json::object { return { { "decision", "unknown" } }; }
    auto operator()(const RecordMismatch&) const -> json::object { return { { "decision", "mismatch" } }; }
    auto operator()(const RecordUnavailable& unavailable) const -> json::object { return { { "decision", "unavailable" }, { "retry_after_ms", toMilliseconds(unavailable.retryAfter) } }; }
};

auto readDecision(const json::object& object) -> std::optional<RecordDecision>
{
    const auto decision = text(object, "decision");
    if (decision == "started")
        return RecordStarted {};
    if (decision == "in_progress")
        return RecordInProgress { readRetryAfter(object) };
    if (decision == "unknown")
        return RecordUnknown {};
    if (decision == "mismatch")
        return RecordMismatch {};
    if (decision == "unavailable")
        return RecordUnavailable { readRetryAfter(object) };
    const auto* value = decision == "done" ? object.if_contains("answer") : nullptr;
    auto response = value ? responseFromJson(*value) : std::nullopt;
    if (!response)
        return std::nullopt;
    return RecordDone { std::move(*response) };
}

}

auto routeOf(const RecordOperation& operation) -> std::string_view
{
    if (std::holds_alternative<BeginRecord>(operation.request))
        return "begin";
    return std::holds_alternative<FinishRecord>(operation.request) ? "finish" : "abandon";
}

auto operationToJson(const RecordOperation& operation) -> json::value
{
    json::object object { { "key", operation.key }, { "attempt", operation.attemptId } };
    if (const auto* begin = std::get_if<BeginRecord>(&operation.request)) {
        object["digest"] = begin->requestDigest;
        object["holder"] = begin->holder;
    }
    if (const auto* finish = std::get_if<FinishRecord>(&operation.request))
        object["answer"] = responseToJson(finish->response);
    return object;
}

auto operationFromJson(std::string_view route, const json::value& value) -> std::optional<RecordOperation>
{
    const auto* object = value.if_object();
    if (!object)
        return std::nullopt;
    RecordOperation operation { .key = text(*object, "key"), .attemptId = text(*object, "attempt") };
    if (operation.key.empty() || operation.attemptId.empty())
        return std::nullopt;
    if (route == "begin") {
        operation.request = BeginRecord { text(*object, "digest"), text(*object, "holder") };
        return operation;
    }
    if (route == "abandon") {
        operation.request = AbandonRecord {};
        return operation;
    }
    const auto* responseValue = route == "finish" ? object->if_contains("answer") : nullptr;
    auto response = responseValue ? responseFromJson(*responseValue) : std::nullopt;
    if (!response)
        return std::nullopt;
    operation.request = FinishRecord { std::move(*response) };
    return operation;
}

auto replyToJson(const RecordAction& reply) -> json::value
{
    if (const auto* stored = std::get_if<ReplyStored>(&reply))
        return json::object { { "stored", stored->isStored } };
    const auto& begin = std::get<ReplyBegin>(reply);
    auto object = std::visit(DecisionSerializer {}, begin.decision);
    if (begin.mayBeCommitted)
        object["may_be_committed"] = true;
    return object;
}

auto replyFromJson(const json::value& value) -> std::optional<RecordAction>
{
    const auto* object = value.if_object();
    if (!object)
        return std::nullopt;
    if (const auto* stored = object->if_contains("stored"); stored && stored->is_bool())
        return ReplyStored { 0, stored->get_bool() };
    auto decision = readDecision(*object);
    if (!decision)
        return std::nullopt;
    return ReplyBegin { 0, std::move(*decision), object->contains("may_be_committed") };
}

}

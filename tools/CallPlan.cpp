#include "CallPlan.h"

#include "ExpectedTokens.h"
#include "ServiceResponse.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace {

auto makePrompt(const LoadItem& item, const std::string& callName) -> std::string
{
    std::string prompt;
    for (std::int64_t index = 0; index < item.sharedTokens; ++index)
        prompt += "shared" + std::to_string(index) + ' ';
    prompt += callName;
    for (auto index = item.sharedTokens + 1; index < item.promptTokens; ++index)
        prompt += " w" + std::to_string(index);
    if (!item.marker.empty())
        prompt += ' ' + item.marker;
    if (item.outputTokens > 0)
        prompt += " output=" + std::to_string(item.outputTokens);
    return prompt;
}

auto planModelCall(CallPlan& plan, const LoadItem& item, const std::string& callName, bool isCancelled) -> void
{
    const auto prompt = makePrompt(item, item.hasSamePrompt ? item.name : callName);
    const boost::json::object body { { "model", item.model }, { "prompt", prompt }, { "max_tokens", item.maxTokens }, { "stream", item.isStream } };
    plan.request.target = "/v1/completions";
    plan.request.body = boost::json::serialize(body);
    const auto tokens = expectedTokens(item.model, prompt, item.maxTokens);
    plan.expected = expectedText(item.model, prompt, item.maxTokens);
    if (isCancelled && item.isStream)
        plan.cancelAfterTokens = std::max<std::int64_t>(1, static_cast<std::int64_t>(tokens.size()) / 2);
}

auto planPlainCall(CallPlan& plan, const LoadItem& item, const std::string& callName) -> void
{
    plan.request.method = item.method;
    plan.request.target = "/services/" + item.service + item.path;
    if (item.method != "GET")
        plan.request.body = boost::json::serialize(boost::json::object { { "call", callName } });
    if (item.hasIdempotencyKey)
        plan.request.headers.push_back({ "Idempotency-Key", callName });
    plan.expected = expectedServiceResponse(item.method, item.path, plan.request.body);
}

}

auto planCall(const LoadItem& item, std::uint64_t seed, std::uint64_t number, bool isCancelled) -> CallPlan
{
    CallPlan plan { &item, { "POST", {}, {}, {}, false }, {}, 0 };
    const auto callName = item.name + '-' + std::to_string(seed) + '-' + std::to_string(number);
    plan.request.headers = {
        { "Authorization", "Bearer " + item.key },
        { "Content-Type", "application/json" },
        { "X-Jayhold-Service", item.service },
    };
    if (!item.kind.empty())
        plan.request.headers.push_back({ "X-Jayhold-Kind", item.kind });
    if (item.requestTimeout.count() > 0)
        plan.request.headers.push_back({ "X-Request-Timeout-Ms", std::to_string(item.requestTimeout.count()) });
    if (item.model.empty())
        planPlainCall(plan, item, callName);
    else
        planModelCall(plan, item, callName, isCancelled);
    return plan;
}

}

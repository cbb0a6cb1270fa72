#include "../EntryConfiguration.h"

#include "CallerChecks.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

auto testIndex() -> const ConfigurationIndex&
{
    static const ConfigurationIndex index(entryConfiguration(), {});
    return index;
}

auto completionRequest(std::string body, std::vector<HttpHeader> headers = {}) -> HttpRequest
{
    return { "POST", "/v1/completions", std::move(headers), std::move(body) };
}

auto completionError(std::string body, std::vector<HttpHeader> headers = {}, CompletionApi api = CompletionApi::Text) -> std::string
{
    const auto checked = checkCompletion(testIndex(), CustomerId {}, api, completionRequest(std::move(body), std::move(headers)), TimePoint {});
    return checked.has_value() ? "none" : std::to_string(checked.error().status) + " " + checked.error().type;
}

auto plainError(std::string method, std::string target) -> std::string
{
    const HttpRequest request { std::move(method), std::move(target), {}, {} };
    const auto checked = checkPlainCall(testIndex(), CustomerId {}, request, TimePoint {});
    return checked.has_value() ? checked->info.kind.name + " " + checked->info.request.target : std::to_string(checked.error().status) + " " + checked.error().type;
}

}

// Guards against an invalid request that reaches an engine, or is refused without an error type.
TEST_CASE("invalid completion requests get typed errors")
{
    CHECK(completionError(R"({"prompt":"a b"})") == "none");
    CHECK(completionError("{") == "400 malformed_json");
    CHECK(completionError("[]") == "400 invalid_request");
    CHECK(completionError("{}") == "400 invalid_request");
    CHECK(completionError(R"({"prompt":7})") == "400 invalid_request");
    CHECK(completionError(R"({"prompt":["a","b"]})") == "400 invalid_request");
    CHECK(completionError(R"({"prompt":"a","max_tokens":0})") == "400 invalid_request");
    CHECK(completionError(R"({"prompt":"a","max_tokens":"5"})") == "400 invalid_request");
    CHECK(completionError(R"({"prompt":"a","max_tokens":101})") == "400 invalid_request");
    CHECK(completionError(R"({"prompt":"a","n":2})") == "400 invalid_request");
    CHECK(completionError(R"({"prompt":"a","stream":"yes"})") == "400 invalid_request");
    CHECK(completionError(R"({"prompt":"1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21"})") == "413 prompt_too_large");
    CHECK(completionError(R"({"prompt":"a","model":"other"})") == "404 unknown_service");
    CHECK(completionError(R"({"prompt":"a"})", { { "X-Jayhold-Service", "coop-ledger" } }) == "404 unknown_service");
    CHECK(completionError(R"({"prompt":"a"})", { { "X-Jayhold-Kind", "other" } }) == "404 unknown_kind");
    CHECK(completionError(R"({"prompt":"a"})", { { "X-Request-Timeout-Ms", "soon" } }) == "400 invalid_timeout");
    CHECK(completionError(R"({"messages":[{"role":"user"}]})", {}, CompletionApi::Chat) == "400 invalid_request");
    CHECK(completionError(R"({"messages":[{"role":"user","content":"hi"}]})", {}, CompletionApi::Chat) == "none");
}

// Guards against a deadline that a caller extends beyond the limit of its kind.
TEST_CASE("the caller's timeout sets the deadline up to the limit of the kind")
{
    const auto deadline = [](std::vector<HttpHeader> headers) {
        const auto request = completionRequest(R"({"prompt":"a"})", std::move(headers));
        return checkCompletion(testIndex(), CustomerId {}, CompletionApi::Text, request, TimePoint {})->info.deadline - TimePoint {};
    };
    CHECK(deadline({}) == 5s);
    CHECK(deadline({ { "X-Request-Timeout-Ms", "300" } }) == 300ms);
    CHECK(deadline({ { "X-Request-Timeout-Ms", "90000" } }) == 5s);
    CHECK(deadline({ { "X-Jayhold-Kind", "appraisal" } }) == 60s);
}

// Guards against a call that matches a repeatable kind because its path is spelled differently.
TEST_CASE("plain calls are routed by method and path prefix")
{
    CHECK(plainError("POST", "/services/coop-ledger/deposits?a=1") == "deposit /deposits?a=1");
    CHECK(plainError("POST", "/services/coop-ledger/deposits/7") == "deposit /deposits/7");
    CHECK(plainError("GET", "/services/coop-ledger") == "inventory /");
    CHECK(plainError("POST", "/services/coop-ledger/depositsX") == "404 unknown_kind");
    CHECK(plainError("POST", "/services/coop-ledger/x/../deposits") == "400 invalid_path");
    CHECK(plainError("POST", "/services/coop-ledger//deposits") == "400 invalid_path");
    CHECK(plainError("POST", "/services/coop-ledger/%2e%2E/deposits") == "400 invalid_path");
    CHECK(plainError("GET", "/services/other/x") == "404 unknown_service");
    CHECK(plainError("GET", "/services/appraiser-llm/x") == "404 unknown_service");
}

// Guards against a refusal from which a caller cannot tell whether it may repeat the request.
TEST_CASE("an error states whether the request was executed and when to retry")
{
    const auto response = toResponse(refusalError(RefusalReason::QueueFull, ExecutionOutcome::NotRun, 1'500ms));
    CHECK(response.status == 429);
    CHECK(findHeader(response.headers, "Retry-After") == "2");
    const auto error = boost::json::parse(response.body).at("error");
    CHECK(error.at("type") == "queue_full");
    CHECK(error.at("ran") == "no");
    CHECK(error.at("retry_after_ms") == 1'500);
    const auto unknown = toResponse(refusalError(RefusalReason::RetriesExhausted, ExecutionOutcome::Unknown, {}));
    CHECK(unknown.status == 503);
    CHECK_FALSE(findHeader(unknown.headers, "Retry-After"));
    CHECK(boost::json::parse(unknown.body).at("error").at("ran") == "unknown");
}

// Guards against access without a key, or with the key of another role.
TEST_CASE("a key is valid for one role only")
{
    CHECK(testIndex().customerOf("Bearer members-key") == CustomerId {});
    CHECK_FALSE(testIndex().customerOf("Bearer operator-key"));
    CHECK_FALSE(testIndex().customerOf("members-key"));
    CHECK_FALSE(testIndex().customerOf(std::nullopt));
    CHECK(testIndex().operatorOf("Bearer operator-key") == "treasurer");
    CHECK_FALSE(testIndex().operatorOf("Bearer members-key"));
}

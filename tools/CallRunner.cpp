#include "CallRunner.h"

#include "CompletionReader.h"
#include "CoroutineSleep.h"

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Delay before a call is retried whose connection failed or was lost.
constexpr auto reconnectDelay = std::chrono::milliseconds(20);

struct Attempt {
    CallOutcome outcome = CallOutcome::Unknown;
    std::string detail;
    Duration retryAfter { reconnectDelay };
    /// Whether the call may be retried: it was rejected as not run, or its connection failed. A call
    /// that may have run must also be repeatable or carry an idempotency key, which runCall() checks.
    bool mayRetry = false;
};

/// State shared by all attempts of one call.
struct CallContext {
    const CallPlan& plan;
    CallResult& result;
    TimePoint start;
    TimePoint deadline;
};

auto failedAttempt(const HttpError& error) -> Attempt
{
    const auto text = std::string(name(error.kind)) + ": " + error.detail;
    if (error.kind == HttpErrorKind::TimedOut)
        return { CallOutcome::Lost, text };
    if (error.kind == HttpErrorKind::MalformedAnswer)
        return { CallOutcome::Wrong, text };
    const auto outcome = error.kind == HttpErrorKind::NotConnected ? CallOutcome::NotRun : CallOutcome::Unknown;
    return { outcome, text, reconnectDelay, true };
}

auto refusedAttempt(unsigned status, const std::string& body) -> Attempt
{
    const auto refusal = parseRefusal(body);
    auto detail = std::to_string(status) + " " + body.substr(0, 200);
    if (refusal.ran != ExecutionStatus::NotRun)
        return { CallOutcome::Unknown, std::move(detail) };
    const Duration retryAfter = std::chrono::milliseconds(refusal.retryAfterMilliseconds);
    return { CallOutcome::NotRun, std::move(detail), retryAfter, refusal.retryAfterMilliseconds > 0 };
}

auto checkedAttempt(const std::string& text, const std::string& expected, std::int64_t doneEvents) -> Attempt
{
    if (text == expected && doneEvents == 1)
        return { CallOutcome::Whole, {} };
    if (doneEvents > 1 || text == expected + expected)
        return { CallOutcome::Doubled, "the response arrived twice" };
    return { CallOutcome::Wrong, "received \"" + text.substr(0, 100) + "\" of " + std::to_string(text.size()) + " bytes, expected " + std::to_string(expected.size()) + " bytes, [DONE] events " + std::to_string(doneEvents) };
}

auto remainingTime(const CallContext& context) -> Duration
{
    return std::max<Duration>(context.deadline - monotonicNow(), std::chrono::milliseconds(1));
}

/// Records the time to the first token or the gap since the previous tokens.
auto recordTokens(CallContext& context, TimePoint& lastToken) -> void
{
    const auto now = monotonicNow();
    if (context.result.firstToken.count() == 0)
        context.result.firstToken = now - context.start;
    else
        context.result.gaps.push_back(now - lastToken);
    lastToken = now;
}

auto finishedStream(const CallContext& context, unsigned status, const CompletionReader& reader, const std::string& body) -> Attempt
{
    if (status != 200)
        return refusedAttempt(status, body);
    if (!reader.error().empty())
        return refusedAttempt(status, reader.error());
    return checkedAttempt(reader.text(), context.plan.expected, reader.doneEvents());
}

auto streamingAttempt(HttpClient& client, CallContext& context, HttpEndpoint entry) -> asio::awaitable<Attempt>
{
    const auto opened = co_await client.open(entry, context.plan.request, remainingTime(context));
    if (opened.has_error())
        co_return failedAttempt(opened.error());
    const auto& stream = *opened;
    CompletionReader reader;
    std::string body;
    auto lastToken = context.start;
    while (true) {
        const auto chunk = co_await stream->readSome(remainingTime(context));
        if (chunk.has_error()) {
            if (!context.plan.expected.starts_with(reader.text()))
                co_return checkedAttempt(reader.text(), context.plan.expected, reader.doneEvents());
            co_return failedAttempt(chunk.error());
        }
        if (chunk->empty())
            co_return finishedStream(context, stream->status(), reader, body);
        if (stream->status() != 200) {
            body += *chunk;
            continue;
        }
        if (reader.append(*chunk) > 0)
            recordTokens(context, lastToken);
        const auto cancelAfter = context.plan.cancelAfterTokens;
        if (cancelAfter > 0 && reader.tokens() >= cancelAfter && reader.doneEvents() == 0) {
            stream->close();
            if (!context.plan.expected.starts_with(reader.text()))
                co_return checkedAttempt(reader.text(), context.plan.expected, 0);
            co_return Attempt { CallOutcome::Cancelled, {} };
        }
    }
}

auto nonStreamingAttempt(HttpClient& client, CallContext& context, HttpEndpoint entry) -> asio::awaitable<Attempt>
{
    const auto response = co_await client.request(entry, context.plan.request, remainingTime(context));
    if (response.has_error())
        co_return failedAttempt(response.error());
    if (response->status != 200)
        co_return refusedAttempt(response->status, response->body);
    if (context.result.firstToken.count() == 0)
        context.result.firstToken = monotonicNow() - context.start;
    if (context.plan.item->model.empty())
        co_return checkedAttempt(response->body, context.plan.expected, 1);
    std::string text;
    if (!parseCompletionBody(response->body, text))
        co_return Attempt { CallOutcome::Wrong, response->body.substr(0, 200) };
    co_return checkedAttempt(text, context.plan.expected, 1);
}

}

auto runCall(HttpClient& client, const LoadSettings& settings, CallPlan plan, std::atomic<std::size_t>& nextEntry) -> asio::awaitable<CallResult>
{
    CallResult result;
    const auto start = monotonicNow();
    CallContext context { plan, result, start, start + settings.callTimeout };
    const auto isRepeatable = !plan.item->model.empty() || plan.item->hasIdempotencyKey || plan.item->method == "GET";
    // A retry goes to the entry instance after the one that failed, as a load balancer would send it.
    for (auto entryIndex = nextEntry.fetch_add(1);; ++entryIndex) {
        ++result.attempts;
        const auto& entry = settings.entries[entryIndex % settings.entries.size()];
        Attempt attempt;
        if (plan.item->isStream)
            attempt = co_await streamingAttempt(client, context, entry);
        else
            attempt = co_await nonStreamingAttempt(client, context, entry);
        result.outcome = attempt.outcome;
        result.detail = attempt.detail;
        const auto mayRetry = attempt.mayRetry && (attempt.outcome == CallOutcome::NotRun || isRepeatable);
        const auto isInTime = monotonicNow() + attempt.retryAfter < context.deadline;
        if (!settings.retriesRefusals || !mayRetry || !isInTime || result.attempts >= settings.maxAttempts)
            co_return result;
        co_await sleepFor(attempt.retryAfter);
    }
}

}

#include "EngineHandlers.h"
#include "EngineRequest.h"
#include "ExpectedTokens.h"
#include "JsonBody.h"
#include "KvPull.h"
#include "PromptBlocks.h"

#include <cstdlib>

namespace jayhold::standin {

namespace {

constexpr std::string_view crashMarker = "crash-engine";
constexpr int crashExitCode = 70;

/// A decode in progress. Releases the slot and memory blocks of its run however the handler ends.
class Decode {
public:
    Decode(EnginePointer engine, std::shared_ptr<EngineRun> engineRun)
        : state(std::move(engine))
        , run(std::move(engineRun))
    {
        ++state->counters.decodes;
    }

    ~Decode()
    {
        if (tokensSent == 0)
            state->counters.tokensNeverDecoded += prefilledTokens;
        state->memory.release(*run);
    }

    Decode(const Decode&) = delete;
    auto operator=(const Decode&) -> Decode& = delete;

    const EnginePointer state;
    const std::shared_ptr<EngineRun> run;
    /// Prefilled tokens that count as never decoded if no token is sent.
    std::int64_t prefilledTokens = 0;
    std::int64_t tokensSent = 0;
};

auto tokenEvent(std::int64_t index, const std::string& text) -> std::string
{
    const boost::json::object event { { "index", index }, { "text", text } };
    return "data: " + boost::json::serialize(event) + "\n\n";
}

/// Obtains the KV cache of the prompt: pulls it from the prefill engine, or prefills the prompt here
/// if the request names no source.
/// @return the error response if the transfer fails.
auto obtainKv(Decode& decode, HttpExchange& exchange, const EngineRequest& request) -> boost::asio::awaitable<std::optional<HttpResponse>>
{
    if (!request.kv) {
        const auto computed = co_await prefillPrompt(*decode.state, *decode.run, request.prompt, request.priority);
        // prefillPrompt() has already counted a cancelled prefill as never decoded.
        if (!decode.run->isCancelled)
            decode.prefilledTokens = computed;
        co_return std::nullopt;
    }
    const auto pull = co_await pullKv(exchange.client(), *decode.run, *request.kv);
    if (pull.status == KvPullStatus::Transferred)
        decode.prefilledTokens = pull.computedTokens;
    if (pull.status == KvPullStatus::Expired)
        co_return notRunResponse(410, "kv_expired");
    if (pull.status == KvPullStatus::Failed)
        co_return notRunResponse(502, "kv_transfer_failed");
    co_return std::nullopt;
}

/// Sends the tokens as the step loop emits them.
/// @return whether all were sent.
auto sendTokens(Decode& decode, HttpExchange& exchange, std::span<const std::string> tokens, std::int64_t first) -> boost::asio::awaitable<bool>
{
    auto& state = *decode.state;
    const auto total = static_cast<std::int64_t>(tokens.size()) - first;
    const auto stream = std::make_shared<StepLoop::Stream>(exchange.executor());
    stream->total = total;
    if (total > 0)
        state.steps.add(stream);
    while (decode.tokensSent < total) {
        co_await StepLoop::waitForTokens(*stream, *decode.run, decode.tokensSent);
        if (decode.run->isCancelled)
            co_return false;
        const auto index = first + decode.tokensSent;
        const auto event = tokenEvent(index, tokens[static_cast<std::size_t>(index)]);
        const auto isSent = co_await exchange.write(event);
        if (!isSent)
            co_return false;
        ++decode.tokensSent;
        if (decode.tokensSent == state.faults.dropAfterTokens)
            co_return false;
    }
    co_return true;
}

auto runDecode(Decode& decode, HttpExchange& exchange, const EngineRequest& request) -> boost::asio::awaitable<void>
{
    auto& state = *decode.state;
    auto failure = co_await obtainKv(decode, exchange, request);
    co_await applyFaults(state);
    if (failure && !decode.run->isCancelled) {
        state.memory.release(*decode.run);
        co_await exchange.respond(std::move(*failure));
        co_return;
    }
    if (state.faults.crashOnMarker && !decode.run->isCancelled && request.prompt.find(crashMarker) != std::string::npos)
        std::_Exit(crashExitCode);
    const auto tokens = expectedTokens(request.model, request.prompt, request.maxTokens);
    const auto first = std::min(request.resumeFrom, static_cast<std::int64_t>(tokens.size()));
    std::vector<HttpHeader> headers { { "Content-Type", "text/event-stream" } };
    auto isComplete = !decode.run->isCancelled;
    if (isComplete)
        isComplete = co_await exchange.startStream(200, std::move(headers));
    if (isComplete)
        isComplete = co_await sendTokens(decode, exchange, tokens, first);
    if (!isComplete) {
        cancelRun(state, decode.run);
        exchange.abort();
        co_return;
    }
    // Released before the last event, so that a caller with the complete response never sees the
    // memory still reserved.
    state.memory.release(*decode.run);
    ++state.counters.finished;
    ++state.counters.completeRuns[request.requestId];
    const boost::json::object end { { "done", true }, { "tokens", tokens.size() } };
    const auto event = "data: " + boost::json::serialize(end) + "\n\n";
    co_await exchange.write(event);
    co_await exchange.finishStream();
}

}

auto handleDecode(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>
{
    co_await applyFaults(*state);
    std::string errorMessage;
    const auto request = readJsonBody<EngineRequest>(exchange.request().body, errorMessage, readDecodeRequest);
    auto refusal = request ? rejectionResponse(*state) : notRunResponse(400, "bad_request", errorMessage);
    if (refusal) {
        co_await exchange.respond(std::move(*refusal));
        co_return;
    }
    const auto memoryBlocks = memoryBlocksFor(*state, countTokens(request->prompt) + request->maxTokens);
    auto run = state->memory.reserve(request->requestId, request->owner, memoryBlocks);
    if (!run) {
        ++state->counters.refused;
        co_await exchange.respond(notRunResponse(409, "busy"));
        co_return;
    }
    exchange.onClose([state, run] { cancelRun(*state, run); });
    Decode decode(state, std::move(run));
    co_await runDecode(decode, exchange, *request);
}

}

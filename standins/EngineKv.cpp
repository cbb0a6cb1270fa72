#include "CoroutineSleep.h"
#include "EngineHandlers.h"
#include "JsonBody.h"
#include "Target.h"

namespace jayhold::standin {

namespace {

constexpr std::int64_t maxChunkBytes = 65'536;
/// A transfer is sent in at least this many chunks, so that transfers share the link fairly.
constexpr std::int64_t minChunks = 16;
constexpr std::string_view kvPath = "/v1/kv/";

/// Keeps a result during its transfer. Afterwards releases it if the transfer is complete, or if the
/// result has expired and no other transfer uses it.
class Transfer {
public:
    Transfer(EnginePointer state, std::string handle)
        : m_state(std::move(state))
        , m_handle(std::move(handle))
    {
        ++m_state->results.at(m_handle).transfers;
    }

    ~Transfer()
    {
        const auto found = m_state->results.find(m_handle);
        if (found == m_state->results.end())
            return;
        --found->second.transfers;
        const auto isExpired = found->second.transfers == 0 && monotonicNow() >= found->second.expiresAt;
        if (isComplete || isExpired)
            releaseResult(*m_state, m_handle, isComplete);
    }

    Transfer(const Transfer&) = delete;
    auto operator=(const Transfer&) -> Transfer& = delete;

    bool isComplete = false;

private:
    const EnginePointer m_state;
    const std::string m_handle;
};

/// Sends the KV cache of a result at the rate of the link.
/// @return whether all of its bytes were sent.
auto sendKv(EngineState& state, HttpExchange& exchange, const StoredPrefill& result, const bool& isClosed) -> boost::asio::awaitable<bool>
{
    const auto toSend = std::max<std::int64_t>(1, std::min(result.kvBytes, state.settings.kvTransferCapBytes));
    const auto chunkSize = std::clamp(toSend / minChunks, std::int64_t(1), maxChunkBytes);
    const auto scale = static_cast<double>(result.kvBytes) / static_cast<double>(toSend);
    const std::string bytes(static_cast<std::size_t>(chunkSize), 'k');
    const auto mustStop = [&] { return isClosed || result.run->isCancelled; };
    for (auto remaining = toSend; remaining > 0;) {
        while ((state.faults.stallTransfers || state.faults.frozen) && !mustStop())
            co_await sleepFor(faultPollInterval);
        const auto size = std::min(remaining, chunkSize);
        co_await sleepUntil(state.link.schedule(static_cast<double>(size) * scale, monotonicNow()));
        if (mustStop())
            co_return false;
        const auto sent = co_await exchange.write(std::string_view(bytes).substr(0, static_cast<std::size_t>(size)));
        if (!sent)
            co_return false;
        remaining -= size;
    }
    co_return true;
}

}

auto handleKv(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>
{
    co_await applyFaults(*state);
    const auto handle = std::string(pathOf(exchange.request().target).substr(kvPath.size()));
    const auto found = state->results.find(handle);
    if (found == state->results.end()) {
        co_await exchange.respond(notRunResponse(410, "kv_expired"));
        co_return;
    }
    const auto result = found->second;
    Transfer transfer(state, handle);
    auto isClosed = false;
    exchange.onClose([&isClosed] { isClosed = true; });
    std::vector<HttpHeader> headers {
        { std::string(kvBytesHeader), std::to_string(result.kvBytes) },
        { std::string(kvComputedHeader), std::to_string(result.computedTokens) },
    };
    co_await exchange.startStream(200, std::move(headers));
    const auto isSent = co_await sendKv(*state, exchange, result, isClosed);
    if (!isSent) {
        exchange.abort();
        co_return;
    }
    transfer.isComplete = co_await exchange.finishStream();
}

}

#include "KvPull.h"

#include "EngineHandlers.h"

#include <charconv>

namespace jayhold::standin {

namespace {

/// Longer than any caller waits, so that the caller's cancellation ends a stalled transfer.
constexpr auto transferTimeout = std::chrono::seconds(60);

auto computedTokens(const HttpStream& stream) -> std::int64_t
{
    const auto text = findHeader(stream.headers(), kvComputedHeader).value_or("0");
    std::int64_t tokens = 0;
    std::from_chars(text.data(), text.data() + text.size(), tokens);
    return tokens;
}

}

auto pullKv(HttpClient& client, EngineRun& run, const KvSource& source) -> boost::asio::awaitable<KvPullResult>
{
    KvPullResult result;
    const auto endpoint = parseHttpEndpoint(source.address);
    if (!endpoint)
        co_return result;
    HttpRequest request { "GET", "/v1/kv/" + source.handle, {}, {}, false };
    const auto opened = co_await client.open(*endpoint, std::move(request), transferTimeout);
    if (opened.has_error() || run.isCancelled)
        co_return result;
    const auto& stream = *opened;
    if (stream->status() != 200) {
        result.status = stream->status() == 410 ? KvPullStatus::Expired : KvPullStatus::Failed;
        co_return result;
    }
    result.computedTokens = computedTokens(*stream);
    run.interrupt = [stream] { stream->close(); };
    while (true) {
        const auto chunk = co_await stream->readSome(transferTimeout);
        if (chunk.has_error())
            break;
        if (chunk->empty()) {
            result.status = KvPullStatus::Transferred;
            break;
        }
    }
    run.interrupt = nullptr;
    co_return result;
}

}

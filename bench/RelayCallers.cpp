#include "RelayCallers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>
#include <utility>

namespace jayhold::bench {

namespace asio = boost::asio;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(30);
constexpr std::string_view textKey = "\"text\":\"";

}

auto RelayCallers::start(bool isDirect) -> void
{
    const auto thread = m_threads.nextIndex();
    asio::co_spawn(m_threads.context(thread), run(m_threads.client(thread), isDirect), asio::detached);
}

auto RelayCallers::takeSamples(bool isDirect) -> RelaySamples
{
    const std::lock_guard guard(m_lock);
    return std::exchange(m_samples[isDirect ? 1 : 0], {});
}

auto RelayCallers::open(HttpClient& client, bool isDirect) -> asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>
{
    if (!isDirect) {
        HttpRequest request { "POST", "/v1/completions", { { "Authorization", "Bearer bench-key" } }, R"({"prompt":"one two three four five six seven eight","max_tokens":4000,"stream":true})" };
        auto stream = co_await client.open(m_entry, std::move(request), callTimeout);
        co_return stream;
    }
    HttpRequest prefill { "POST", "/v1/prefill", {}, "{}" };
    const auto prefillResponse = co_await client.request(m_engine, std::move(prefill), callTimeout);
    if (prefillResponse.has_error())
        co_return prefillResponse.error();
    HttpRequest decode { "POST", "/v1/decode", {}, "{}" };
    auto stream = co_await client.open(m_engine, std::move(decode), callTimeout);
    co_return stream;
}

auto RelayCallers::run(HttpClient& client, bool isDirect) -> asio::awaitable<void>
{
    const auto startedAt = nanoseconds();
    const auto stream = co_await open(client, isDirect);
    auto isFirst = true;
    std::string buffer;
    while (stream.has_value() && (*stream)->status() == 200) {
        const auto chunk = co_await (*stream)->readSome(callTimeout);
        if (chunk.has_error() || chunk->empty())
            break;
        processChunk(*chunk, buffer, isDirect, startedAt, isFirst);
    }
    if (!isFirst)
        --m_streaming;
    ++m_finished;
    const std::lock_guard guard(m_lock);
    if (isFirst)
        ++m_samples[isDirect ? 1 : 0].failures;
}

auto RelayCallers::processChunk(std::string_view chunk, std::string& buffer, bool isDirect, std::int64_t startedAt, bool& isFirst) -> void
{
    const auto now = nanoseconds();
    buffer += chunk;
    std::size_t position = 0;
    for (auto end = buffer.find("\n\n"); end != std::string::npos; end = buffer.find("\n\n", position)) {
        const auto event = std::string_view(buffer).substr(position, end - position);
        position = end + 2;
        const auto text = event.find(textKey);
        std::int64_t sentAt = 0;
        if (text != std::string_view::npos)
            std::from_chars(event.data() + text + textKey.size(), event.data() + event.size(), sentAt);
        if (sentAt == 0)
            continue;
        const auto wasFirst = std::exchange(isFirst, false);
        if (wasFirst)
            ++m_streaming;
        if (!m_isRecording)
            continue;
        const std::lock_guard guard(m_lock);
        auto& samples = m_samples[isDirect ? 1 : 0];
        ++samples.tokens;
        if (wasFirst)
            samples.firstToken.push_back(now - startedAt);
        else
            samples.token.push_back(now - sentAt);
    }
    buffer.erase(0, position);
}

}

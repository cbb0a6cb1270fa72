#include "FakePlatform.h"

#include "AwaitToken.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view objectPrefix = "/v1/objects/";

auto queryNumber(const std::string& query, const std::string& key) -> std::int64_t
{
    const auto at = query.find(key + "=");
    return at == std::string::npos ? 0 : std::stoll(query.substr(at + key.size() + 1));
}

auto objectText(std::int64_t revision, const json::value& value) -> std::string
{
    return json::serialize(json::object { { "revision", revision }, { "value", value } });
}

}

FakePlatform::FakePlatform(IoThreads& threads)
    : m_instances(json::object { { "version", 1 }, { "instances", json::array() } })
    , m_server(threads, {}, [this](HttpExchange& exchange) { return handle(exchange); })
{
}

auto FakePlatform::setDown(bool isDown) -> void
{
    const std::lock_guard guard(m_lock);
    m_isDown = isDown;
}

auto FakePlatform::loseReplies(int count) -> void
{
    const std::lock_guard guard(m_lock);
    m_lostReplies = count;
}

auto FakePlatform::setInstances(json::value list) -> void
{
    const std::lock_guard guard(m_lock);
    m_instances = std::move(list);
}

auto FakePlatform::object(const std::string& name) const -> json::value
{
    return snapshot(name).value;
}

auto FakePlatform::writes() const -> int
{
    const std::lock_guard guard(m_lock);
    return m_writes;
}

auto FakePlatform::calls() const -> int
{
    const std::lock_guard guard(m_lock);
    return m_calls;
}

auto FakePlatform::snapshot(const std::string& name) const -> Object
{
    const std::lock_guard guard(m_lock);
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? Object {} : found->second;
}

auto FakePlatform::handle(HttpExchange& exchange) -> asio::awaitable<void>
{
    std::string instances;
    auto isDown = false;
    {
        const std::lock_guard guard(m_lock);
        ++m_calls;
        isDown = m_isDown;
        instances = json::serialize(m_instances);
    }
    if (isDown) {
        exchange.abort();
        co_return;
    }
    const auto target = exchange.request().target;
    if (target == "/v1/instances") {
        co_await exchange.respond(jsonResponse(200, std::move(instances)));
        co_return;
    }
    const auto question = target.find('?');
    auto name = target.substr(objectPrefix.size(), question == std::string::npos ? question : question - objectPrefix.size());
    auto query = question == std::string::npos ? std::string() : target.substr(question + 1);
    if (exchange.request().method == "PUT")
        co_await update(exchange, std::move(name));
    else
        co_await read(exchange, std::move(name), std::move(query));
}

auto FakePlatform::read(HttpExchange& exchange, std::string name, std::string query) -> asio::awaitable<void>
{
    constexpr auto step = std::chrono::milliseconds(10);
    const auto after = queryNumber(query, "after_revision");
    std::chrono::milliseconds wait(queryNumber(query, "wait_ms"));
    auto object = snapshot(name);
    for (; object.revision <= after && wait.count() > 0; wait -= step) {
        asio::steady_timer timer(exchange.executor(), step);
        boost::system::error_code ignored;
        co_await timer.async_wait(awaitInto(ignored));
        object = snapshot(name);
    }
    if (object.revision == 0)
        co_await exchange.respond(jsonResponse(404, "{}"));
    else if (!query.empty() && object.revision <= after)
        co_await exchange.respond({ 304, {}, {} });
    else
        co_await exchange.respond(jsonResponse(200, objectText(object.revision, object.value)));
}

auto FakePlatform::update(HttpExchange& exchange, std::string name) -> asio::awaitable<void>
{
    const auto match = findHeader(exchange.request().headers, "If-Match");
    const auto expected = std::stoll(std::string(match->substr(1, match->size() - 2)));
    auto value = json::parse(exchange.request().body);
    auto isLost = false;
    auto status = 200U;
    std::string answer;
    {
        const std::lock_guard guard(m_lock);
        auto& object = m_objects[name];
        if (object.revision == expected) {
            object = { expected + 1, std::move(value) };
            ++m_writes;
            answer = json::serialize(json::object { { "revision", object.revision } });
            isLost = m_lostReplies > 0;
            m_lostReplies -= isLost ? 1 : 0;
        } else {
            status = 409;
            answer = objectText(object.revision, object.value);
        }
    }
    if (isLost)
        exchange.abort();
    else
        co_await exchange.respond(jsonResponse(status, std::move(answer)));
}

}

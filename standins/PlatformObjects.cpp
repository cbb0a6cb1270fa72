#include "PlatformObjects.h"

#include "CoroutineSleep.h"
#include "JsonBody.h"
#include "Target.h"

#include <charconv>

namespace jayhold::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

/// Registers a watch with an object for as long as it waits.
class WatchRegistration {
public:
    WatchRegistration(std::shared_ptr<PlatformState> state, PlatformObject& object, asio::steady_timer& timer)
        : m_state(std::move(state))
        , m_object(object)
        , m_timer(timer)
    {
        ++m_state->pendingWatches;
        m_object.watchTimers.insert(&m_timer);
    }
    ~WatchRegistration()
    {
        --m_state->pendingWatches;
        m_object.watchTimers.erase(&m_timer);
    }
    WatchRegistration(const WatchRegistration&) = delete;
    auto operator=(const WatchRegistration&) -> WatchRegistration& = delete;

private:
    const std::shared_ptr<PlatformState> m_state;
    PlatformObject& m_object;
    asio::steady_timer& m_timer;
};

auto objectResponse(unsigned status, const PlatformObject& object) -> HttpResponse
{
    const json::object body { { "revision", object.revision }, { "value", object.value } };
    return jsonResponse(status, json::serialize(body));
}

auto currentResponse(const PlatformObject& object, std::int64_t afterRevision) -> HttpResponse
{
    if (object.revision == 0)
        return notRunResponse(404, "no_such_object");
    if (object.revision <= afterRevision)
        return { 304, {}, {} };
    return objectResponse(200, object);
}

/// @return the revision of an `If-Match: "N"` header.
auto expectedRevision(const HttpRequest& request) -> std::optional<std::int64_t>
{
    auto text = findHeader(request.headers, "If-Match").value_or("");
    if (text.size() < 3 || text.front() != '"' || text.back() != '"')
        return std::nullopt;
    text = text.substr(1, text.size() - 2);
    std::int64_t revision = 0;
    const auto [rest, code] = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (code != std::errc {} || rest != text.data() + text.size())
        return std::nullopt;
    return revision;
}

auto store(PlatformObject& object, json::value value) -> void
{
    ++object.revision;
    object.value = std::move(value);
    for (auto* timer : object.watchTimers)
        timer->cancel();
}

/// Applies a conditional update.
auto update(PlatformState& state, const std::string& name, const HttpRequest& request) -> HttpResponse
{
    if (request.body.size() > static_cast<std::size_t>(state.settings.maxValueBytes))
        return notRunResponse(413, "value_too_large");
    const auto expected = expectedRevision(request);
    if (!expected)
        return notRunResponse(428, "if_match_required");
    boost::system::error_code code;
    auto value = json::parse(request.body, code);
    if (code)
        return notRunResponse(400, "bad_request", code.message());
    auto& object = state.objects[name];
    if (object.revision != *expected)
        return objectResponse(409, object);
    store(object, std::move(value));
    return jsonResponse(200, json::serialize(json::object { { "revision", object.revision } }));
}

}

auto readObject(std::shared_ptr<PlatformState> state, HttpExchange& exchange, std::string name) -> asio::awaitable<void>
{
    const auto& target = exchange.request().target;
    const auto afterRevision = queryNumber(target, "after_revision", -1);
    const auto wait = std::chrono::milliseconds(queryNumber(target, "wait_ms", 0));
    const auto isWatch = afterRevision >= 0 && wait.count() > 0;
    ++state->calls[isWatch ? "watch" : "read"];
    auto& object = state->objects[name];
    if (isWatch && object.revision <= afterRevision) {
        asio::steady_timer timer(exchange.executor(), wait);
        const WatchRegistration watch(state, object, timer);
        exchange.onClose([&timer] { timer.cancel(); });
        boost::system::error_code ignored;
        co_await timer.async_wait(awaitInto(ignored));
        // An outage that began during the wait delays the response until it ends.
        while (state->faults.outage != PlatformOutage::None)
            co_await sleepFor(faultPollInterval);
    }
    co_await exchange.respond(currentResponse(object, afterRevision));
}

auto writeObject(std::shared_ptr<PlatformState> state, HttpExchange& exchange, std::string name) -> asio::awaitable<void>
{
    ++state->calls["write"];
    auto response = update(*state, name, exchange.request());
    if (response.status == 200 && state->faults.loseReplies > 0) {
        --state->faults.loseReplies;
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

}

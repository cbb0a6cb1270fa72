#pragma once

/// What the tests of the stand-ins share: JSON calls from a client thread of their own, and waits
/// for a condition.

#include "HttpTestServer.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <functional>

namespace jayhold {

struct StandinResponse {
    /// 0 where the call failed.
    unsigned status = 0;
    boost::json::value body;
};

class StandinClient {
public:
    auto call(const HttpEndpoint& endpoint, std::string method, std::string target, const boost::json::value& body, std::vector<HttpHeader> headers = {}) -> StandinResponse
    {
        HttpRequest request { std::move(method), std::move(target), std::move(headers), body.is_null() ? "" : boost::json::serialize(body), false };
        const auto answer = runOn(m_threads, 0, m_threads.client(0).request(endpoint, std::move(request), std::chrono::seconds(10)));
        if (answer.has_error())
            return {};
        return { answer->status, answer->body.empty() ? boost::json::value() : boost::json::parse(answer->body) };
    }

    auto get(const HttpEndpoint& endpoint, std::string target) -> StandinResponse { return call(endpoint, "GET", std::move(target), nullptr); }

    /// @return a number of `GET /admin/counts`.
    auto count(const HttpEndpoint& endpoint, std::string_view key) -> std::int64_t { return get(endpoint, "/admin/counts").body.at(key).to_number<std::int64_t>(); }

    auto threads() -> IoThreads& { return m_threads; }

private:
    IoThreads m_threads { 1 };
};

/// @return whether the condition became true within the time.
inline auto becomesTrue(Duration time, const std::function<bool()>& condition) -> bool
{
    const auto end = monotonicNow() + time;
    while (!condition()) {
        if (monotonicNow() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

}

#pragma once

/// Helpers for the tests of the stand-ins: JSON calls from a separate client thread, and waits for a
/// condition.

#include "HttpTestServer.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <functional>

namespace jayhold {

struct StandinResponse {
    /// 0 if the call failed.
    unsigned status = 0;
    boost::json::value body;
};

class StandinClient {
public:
    auto call(const HttpEndpoint& endpoint, std::string method, std::string target, const boost::json::value& body, std::vector<HttpHeader> headers = {}) -> StandinResponse
    {
        HttpRequest request { std::move(method), std::move(target), std::move(headers), body.is_null() ? "" : boost::json::serialize(body), false };
        const auto response = runOn(m_threads, 0, m_threads.client(0).request(endpoint, std::move(request), std::chrono::seconds(10)));
        if (response.has_error())
            return {};
        return { response->status, response->body.empty() ? boost::json::value() : boost::json::parse(response->body) };
    }

    auto get(const HttpEndpoint& endpoint, std::string target) -> StandinResponse { return call(endpoint, "GET", std::move(target), nullptr); }

    /// @return the value of a counter in `GET /admin/counts`.
    auto count(const HttpEndpoint& endpoint, std::string_view key) -> std::int64_t { return get(endpoint, "/admin/counts").body.at(key).to_number<std::int64_t>(); }

    auto threads() -> IoThreads& { return m_threads; }

private:
    IoThreads m_threads { 1 };
};

/// @return whether the condition becomes true before the timeout.
inline auto becomesTrue(Duration timeout, const std::function<bool()>& condition) -> bool
{
    const auto end = monotonicNow() + timeout;
    while (!condition()) {
        if (monotonicNow() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

}

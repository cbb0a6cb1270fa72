#include "AdminClient.h"

#include "IoThreads.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

namespace jayhold {

namespace {

constexpr auto callTimeout = std::chrono::seconds(10);

}

struct AdminClient::State {
    explicit State(std::string key)
        : operatorKey(std::move(key))
    {
    }

    const std::string operatorKey;
    IoThreads threads { 1 };
};

AdminClient::AdminClient(std::string operatorKey)
    : m_state(std::make_unique<State>(std::move(operatorKey)))
{
}

AdminClient::~AdminClient() = default;

auto AdminClient::call(const HttpEndpoint& entry, HttpRequest request) -> HttpResult<HttpResponse>
{
    if (!m_state->operatorKey.empty())
        request.headers.push_back({ "Authorization", "Bearer " + m_state->operatorKey });
    auto& threads = m_state->threads;
    auto task = threads.client(0).request(entry, std::move(request), callTimeout);
    return boost::asio::co_spawn(threads.context(0), std::move(task), boost::asio::use_future).get();
}

auto AdminClient::callFirstReachable(std::span<const HttpEndpoint> entries, const HttpRequest& request) -> HttpResult<HttpResponse>
{
    HttpResult<HttpResponse> result = HttpError { HttpErrorKind::NotConnected, "no entry instance given" };
    for (const auto& entry : entries) {
        result = call(entry, request);
        if (result.has_value() || result.error().kind != HttpErrorKind::NotConnected)
            break;
    }
    return result;
}

}

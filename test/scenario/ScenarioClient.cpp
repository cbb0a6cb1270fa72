#include "ScenarioClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>

namespace jayhold {

namespace {

constexpr auto callTimeout = std::chrono::seconds(5);

}

auto ScenarioClient::call(const HttpEndpoint& endpoint, std::string method, std::string target, std::string body, std::vector<HttpHeader> headers) -> ScenarioResponse
{
    HttpRequest request { std::move(method), std::move(target), std::move(headers), std::move(body), false };
    auto task = m_threads.client(0).request(endpoint, std::move(request), callTimeout);
    auto response = boost::asio::co_spawn(m_threads.context(0), std::move(task), boost::asio::use_future).get();
    if (response.has_error())
        return { 0, nullptr, response.error().detail };
    boost::system::error_code code;
    auto value = boost::json::parse(response->body, code);
    return { response->status, code ? boost::json::value() : std::move(value), std::move(response->body) };
}

}

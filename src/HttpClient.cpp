#include "HttpClient.h"

#include "AwaitToken.h"
#include "HttpConnection.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <map>

namespace jayhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

struct IdleConnection {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

using IdlePointer = std::unique_ptr<IdleConnection>;
using BeastRequest = http::request<http::string_body>;

auto toBeast(const HttpEndpoint& endpoint, HttpRequest&& request) -> BeastRequest
{
    BeastRequest message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, toString(endpoint));
    for (const auto& header : request.headers)
        message.set(header.name, header.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

auto connect(beast::tcp_stream& stream, const HttpEndpoint& endpoint, Duration timeout) -> asio::awaitable<std::optional<HttpError>>
{
    boost::system::error_code code;
    const auto address = asio::ip::make_address(endpoint.address, code);
    if (code)
        co_return HttpError { HttpErrorKind::NotConnected, code.message() };
    stream.expires_after(timeout);
    co_await stream.async_connect(asio::ip::tcp::endpoint(address, endpoint.port), awaitInto(code));
    if (code)
        co_return HttpError { HttpErrorKind::NotConnected, code.message() };
    stream.socket().set_option(asio::ip::tcp::no_delay(true), code);
    co_return std::nullopt;
}

struct ExchangeOutcome {
    boost::system::error_code code;
    HttpResponse response;
    bool isReusable = false;
};

auto exchange(IdleConnection& connection, BeastRequest& message, std::size_t maximumBody, Duration timeout) -> asio::awaitable<ExchangeOutcome>
{
    ExchangeOutcome outcome;
    connection.stream.expires_after(timeout);
    co_await http::async_write(connection.stream, message, awaitInto(outcome.code));
    if (outcome.code)
        co_return outcome;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumBody);
    co_await http::async_read(connection.stream, connection.buffer, parser, awaitInto(outcome.code));
    if (outcome.code)
        co_return outcome;
    auto& answer = parser.get();
    outcome.isReusable = answer.keep_alive();
    outcome.response = { answer.result_int(), copyHeaders(answer), std::move(answer.body()) };
    co_return outcome;
}

}

struct HttpClient::Pool {
    std::map<HttpEndpoint, std::vector<IdlePointer>> idle;

    auto take(const HttpEndpoint& endpoint) -> IdlePointer
    {
        auto& connections = idle[endpoint];
        if (connections.empty())
            return nullptr;
        auto connection = std::move(connections.back());
        connections.pop_back();
        return connection;
    }
};

HttpClient::HttpClient(asio::io_context& context, HttpClientSettings settings)
    : m_context(context)
    , m_settings(settings)
    , m_pool(std::make_unique<Pool>())
{
}

HttpClient::~HttpClient() = default;

auto HttpClient::request(HttpEndpoint endpoint, HttpRequest request, Duration timeout) -> asio::awaitable<HttpResult<HttpResponse>>
{
    const auto mayRunTwice = request.isIdempotent || request.method == "GET";
    auto message = toBeast(endpoint, std::move(request));
    // Only calls that may run twice use a pooled connection: it can be closed by the other side
    // at the moment of sending, which can't be told apart from a call that ran.
    auto connection = mayRunTwice ? m_pool->take(endpoint) : nullptr;
    const auto wasPooled = connection != nullptr;
    for (auto attempt = wasPooled ? 0 : 1; attempt < 2; ++attempt) {
        if (!connection) {
            connection = std::make_unique<IdleConnection>(IdleConnection { beast::tcp_stream(m_context), {} });
            if (auto error = co_await connect(connection->stream, endpoint, m_settings.connectTimeout))
                co_return std::move(*error);
        }
        auto outcome = co_await exchange(*connection, message, m_settings.maximumBody, timeout);
        if (!outcome.code) {
            auto& idle = m_pool->idle[endpoint];
            if (outcome.isReusable && idle.size() < m_settings.idlePerEndpoint)
                idle.push_back(std::move(connection));
            co_return std::move(outcome.response);
        }
        if (attempt == 1 || outcome.code == beast::error::timeout)
            co_return httpErrorOf(outcome.code);
        connection = nullptr;
    }
    co_return HttpError { HttpErrorKind::NotConnected, "no attempt was made" };
}

auto HttpClient::open(HttpEndpoint endpoint, HttpRequest request, Duration timeout) -> asio::awaitable<HttpResult<std::shared_ptr<HttpStream>>>
{
    auto connection = std::make_unique<HttpStream::Connection>(m_context);
    if (auto error = co_await connect(connection->stream, endpoint, m_settings.connectTimeout))
        co_return std::move(*error);
    const auto message = toBeast(endpoint, std::move(request));
    boost::system::error_code code;
    connection->stream.expires_after(timeout);
    co_await http::async_write(connection->stream, message, awaitInto(code));
    if (code)
        co_return httpErrorOf(code);
    auto& parser = connection->parser.emplace();
    parser.body_limit(boost::none);
    co_await http::async_read_header(connection->stream, connection->buffer, parser, awaitInto(code));
    if (code)
        co_return httpErrorOf(code);
    connection->headers = copyHeaders(parser.get());
    co_return std::make_shared<HttpStream>(std::move(connection));
}

}

#include "HttpEndpoint.h"
#include "HttpError.h"
#include "HttpRequest.h"
#include "HttpResponse.h"
#include "LowerCase.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace jayhold {

auto equalHeaderNames(std::string_view left, std::string_view right) -> bool
{
    const auto lower = [](char letter) { return lowerCase(letter); };
    return std::ranges::equal(left, right, {}, lower, lower);
}

auto findHeader(std::span<const HttpHeader> headers, std::string_view name) -> std::optional<std::string_view>
{
    for (const auto& header : headers) {
        if (equalHeaderNames(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

auto jsonResponse(unsigned status, std::string body) -> HttpResponse
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

auto name(HttpErrorKind kind) -> std::string_view
{
    switch (kind) {
    case HttpErrorKind::NotConnected:
        return "not_connected";
    case HttpErrorKind::ConnectionLost:
        return "connection_lost";
    case HttpErrorKind::TimedOut:
        return "timed_out";
    case HttpErrorKind::MalformedAnswer:
        return "malformed_answer";
    case HttpErrorKind::Cancelled:
        return "cancelled";
    }
    return "invalid";
}

auto toString(const HttpEndpoint& endpoint) -> std::string
{
    const auto isV6 = endpoint.address.find(':') != std::string::npos;
    return (isV6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" + std::to_string(endpoint.port);
}

auto parseHttpEndpoint(std::string_view text) -> std::optional<HttpEndpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const auto portText = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto [rest, code] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (code != std::errc {} || rest != portText.data() + portText.size())
        return std::nullopt;
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(std::string(host), addressError);
    if (addressError)
        return std::nullopt;
    return HttpEndpoint { address.to_string(), port };
}

auto parseRemoteEndpoint(std::string_view text) -> std::optional<HttpEndpoint>
{
    constexpr std::uint16_t minPort = 1;
    auto endpoint = parseHttpEndpoint(text);
    if (!endpoint || endpoint->port < minPort || boost::asio::ip::make_address(endpoint->address).is_unspecified())
        return std::nullopt;
    return endpoint;
}

}

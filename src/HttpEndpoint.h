#pragma once

/// A TCP endpoint by IP address and port.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

struct HttpEndpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const HttpEndpoint&) const = default;
};

/// @return `address:port`.
auto toString(const HttpEndpoint& endpoint) -> std::string;

/// Parses `address:port` with an IPv4 address or a bracketed IPv6 address; host names are not
/// accepted, because processes find each other by IP address.
auto parseHttpEndpoint(std::string_view text) -> std::optional<HttpEndpoint>;

/// The same for an endpoint to connect or send to, for which port 0 and the unspecified address are not
/// accepted.
auto parseRemoteEndpoint(std::string_view text) -> std::optional<HttpEndpoint>;

}

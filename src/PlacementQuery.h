#pragma once

/// An operator's description of a request whose placement is to be explained.

#include "Time.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct PlacementQuery {
    /// Host and path of a route, or else the name of a service.
    std::string host;
    std::string path;
    std::string service;
    /// Empty for the kind of the route, or the first one of the service.
    std::string kind;
    /// Empty for a request without a customer.
    std::string customer;
    /// Selects the service of a route with several; may be empty.
    std::string requestId;
    std::uint32_t promptTokens = 0;
    /// Maximum number of output tokens that the caller accepts.
    std::uint32_t maxOutputTokens = 0;
    /// The caller's own estimate; 0 without one.
    std::uint32_t expectedOutputTokens = 0;
    /// In order.
    std::vector<std::uint64_t> promptParts;
    /// How long the caller waits; the deadline of the kind if absent.
    std::optional<Duration> deadline;
};

/// @param text a JSON object. Without `prompt_tokens`, the prompt has the sum of the sizes of its parts.
/// @return the query, or ConfigError.
auto parsePlacementQuery(std::string_view text) -> boost::leaf::result<PlacementQuery>;

}

#pragma once

/// Parses the JSON body of a request to a stand-in, and builds error responses.

#include "HttpResponse.h"
#include "JsonReader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <optional>
#include <string>

namespace jayhold {

/// @param errorMessage receives the reason if nothing is returned.
/// @param read takes a JsonReader and returns a leaf::result of the value.
template <typename Value, typename Read>
auto readJsonBody(std::string_view body, std::string& errorMessage, Read read) -> std::optional<Value>
{
    namespace leaf = boost::leaf;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Value>> {
            BOOST_LEAF_AUTO(parsed, parseJsonObject(body));
            JsonReader reader(parsed.get_object(), "$");
            BOOST_LEAF_AUTO(value, read(reader));
            return std::optional<Value>(std::move(value));
        },
        [&](const ConfigError& error) -> std::optional<Value> {
            errorMessage = describe(error);
            return std::nullopt;
        },
        [&]() -> std::optional<Value> {
            errorMessage = "unknown error";
            return std::nullopt;
        });
}

/// @return an error response that states that the call did not run.
inline auto notRunResponse(unsigned status, std::string_view error, std::string_view detail = {}) -> HttpResponse
{
    boost::json::object body { { "error", error }, { "ran", false } };
    if (!detail.empty())
        body["detail"] = detail;
    return jsonResponse(status, boost::json::serialize(body));
}

}

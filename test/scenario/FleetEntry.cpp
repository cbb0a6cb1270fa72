#include "Fleet.h"

#include "Sha256.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <cstdlib>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr std::string_view operatorKey = "scenario-operator-key";

struct TimeoutOption {
    std::string_view option;
    std::string_view setting;
};

constexpr std::array<TimeoutOption, 3> timeoutOptions { {
    { "prefill-ms", "prefill_ms" },
    { "first-token-ms", "first_token_ms" },
    { "stall-ms", "stall_ms" },
} };

}

auto Fleet::operatorHeaders() -> std::vector<HttpHeader>
{
    return { { "Authorization", "Bearer " + std::string(operatorKey) } };
}

auto Fleet::entrySettings(const Statement& statement) const -> std::string
{
    json::array platforms;
    const auto link = statement.options.find("platform");
    for (const auto& [name, process] : m_processes) {
        const auto isUsed = link == statement.options.end() ? process.type == ProcessType::Platform : name == link->second;
        if (isUsed)
            platforms.emplace_back(toString(process.endpoint));
    }
    json::object settings {
        { "instance", statement.name },
        { "availability_zone", statement.options.at("zone") },
        { "listen", "127.0.0.1:0" },
        { "peer_listen", "127.0.0.1:0" },
        { "platform", std::move(platforms) },
        { "peer_key", "scenario-peer-key" },
        { "operator_keys_sha256", json::array { sha256Hex(operatorKey).c_str() } },
    };
    json::object timeouts;
    for (const auto& [option, setting] : timeoutOptions) {
        const auto found = statement.options.find(std::string(option));
        if (found != statement.options.end())
            timeouts[setting] = std::atoi(found->second.c_str());
    }
    if (!timeouts.empty())
        settings["timeouts"] = std::move(timeouts);
    return json::serialize(settings);
}

}

#include "AdminApi.h"

#include "ConfigurationChange.h"
#include "JitteredDelay.h"
#include "PlacementApi.h"
#include "Sha256.h"
#include "StatusReport.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <charconv>

namespace jayhold {

namespace asio = boost::asio;
namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr Duration platformRetryDelay = std::chrono::seconds(1);

template <typename Number>
auto parseNumber(std::string_view text) -> std::optional<Number>
{
    Number number {};
    const auto [rest, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc {} || rest != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// @return the version in the If-Match header, with or without quotes.
auto expectedVersion(const HttpRequest& request) -> std::optional<std::int64_t>
{
    auto text = findHeader(request.headers, "If-Match").value_or("");
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    return parseNumber<std::int64_t>(text);
}

auto parseAfterParameter(std::string_view target) -> std::uint64_t
{
    static constexpr std::string_view key = "after=";
    const auto start = target.find(key);
    if (start == std::string_view::npos)
        return 0;
    const auto text = target.substr(start + key.size());
    return parseNumber<std::uint64_t>(text.substr(0, text.find('&'))).value_or(0);
}

struct ParsedConfiguration {
    std::optional<Configuration> configuration;
    ConfigError error {};
};

auto parseBody(const std::string& body) -> ParsedConfiguration
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<ParsedConfiguration> {
            BOOST_LEAF_AUTO(configuration, parseConfiguration(body));
            return ParsedConfiguration { std::move(configuration) };
        },
        [](const ConfigError& error) { return ParsedConfiguration { {}, error }; },
        [] { return ParsedConfiguration { {}, { ConfigErrorCode::MalformedJson, "$", "the configuration can't be read" } }; });
}

auto rejectionResponse(const ConfigError& error) -> HttpResponse
{
    auto body = toJson(ApiError(400, std::string(name(error.code)), error.detail));
    body["error"].as_object()["path"] = error.path;
    return jsonResponse(400, json::serialize(body));
}

auto changeToJson(const ConfigurationChange& change) -> json::object
{
    return { { "path", change.path }, { "before", change.before }, { "after", change.after } };
}

}

AdminApi::AdminApi(EntryContext& context, ServiceTable& services, ClusterNode& node, std::function<void()> startDraining)
    : m_context(context)
    , m_services(services)
    , m_node(node)
    , m_startDraining(std::move(startDraining))
{
}

auto AdminApi::handle(HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    const auto isPeerRoute = co_await m_node.handlePeerRequest(exchange);
    if (isPeerRoute)
        co_return;
    if (request.target == "/healthz") {
        co_await respond(exchange, jsonResponse(200, R"({"status":"ok"})"));
        co_return;
    }
    std::string operatorName;
    if (!isOperator(request, operatorName)) {
        co_await respond(exchange, toResponse(ApiError(401, "unauthenticated", "the operator key is missing or not known")));
        co_return;
    }
    // Only authenticated clients may advance the hybrid clock.
    if (const auto time = findHeader(request.headers, hybridTimeHeader)) {
        if (const auto parsed = parseHybridTime(*time))
            m_context.log.clock().observe(*parsed);
    }
    co_await route(exchange, std::move(operatorName));
}

auto AdminApi::respond(HttpExchange& exchange, HttpResponse response) -> asio::awaitable<void>
{
    response.headers.push_back({ std::string(hybridTimeHeader), toString(m_context.log.clock().tick()) });
    co_await exchange.respond(std::move(response));
}

auto AdminApi::isOperator(const HttpRequest& request, std::string& name) const -> bool
{
    const auto authorization = findHeader(request.headers, "Authorization");
    if (const auto index = m_services.configurationIndex()) {
        const auto found = index->operatorOf(authorization);
        name = found.value_or("");
        return found.has_value();
    }
    // Before the first configuration, only the operator keys of the settings are accepted.
    static constexpr std::string_view prefix = "Bearer ";
    if (!authorization || !authorization->starts_with(prefix))
        return false;
    const auto digest = sha256Hex(authorization->substr(prefix.size()));
    name = "settings";
    for (const auto& accepted : m_context.settings.operatorKeysSha256) {
        if (equalDigests(accepted, digest))
            return true;
    }
    return false;
}

auto AdminApi::route(HttpExchange& exchange, std::string name) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    const auto isGet = request.method == "GET";
    if (path == "/admin/v1/configuration" && isGet) {
        co_await respond(exchange, showConfiguration());
    } else if (path == "/admin/v1/configuration" && request.method == "PUT") {
        co_await applyConfiguration(exchange, std::move(name));
    } else if (path == "/admin/v1/status" && isGet) {
        co_await respond(exchange, jsonResponse(200, json::serialize(statusReport(m_context, m_services, m_node))));
    } else if (path == "/admin/v1/events" && isGet) {
        co_await respond(exchange, jsonResponse(200, json::serialize(eventPage(m_context.log, parseAfterParameter(request.target)))));
    } else if (path == placementPath && request.method == "POST") {
        co_await respond(exchange, explainPlacement(m_context, m_services, request.content()));
    } else if (path == "/admin/v1/drain" && request.method == "POST") {
        m_context.log.record(LogLevel::Info, "drain_requested", { { "operator", name } });
        m_startDraining();
        co_await respond(exchange, jsonResponse(202, R"({"draining":true})"));
    } else {
        co_await respond(exchange, toResponse(ApiError(404, "unknown_route", "there is nothing at this path")));
    }
}

auto AdminApi::showConfiguration() const -> HttpResponse
{
    const auto index = m_services.configurationIndex();
    if (!index)
        return toResponse(ApiError(404, "no_configuration", "no configuration has been applied"));
    auto response = jsonResponse(200, json::serialize(toJson(index->configuration())));
    response.headers.push_back({ "ETag", '"' + std::to_string(index->configuration().version) + '"' });
    return response;
}

auto AdminApi::applyConfiguration(HttpExchange& exchange, std::string name) -> asio::awaitable<void>
{
    const auto& request = exchange.request();
    const auto expected = expectedVersion(request);
    if (!expected) {
        co_await respond(exchange, toResponse(ApiError(428, "version_required", "If-Match must carry the version that the change is based on, 0 for none")));
        co_return;
    }
    auto parsed = parseBody(request.body);
    if (!parsed.configuration) {
        co_await respond(exchange, rejectionResponse(parsed.error));
        co_return;
    }
    const auto proposed = *parsed.configuration;
    const auto outcome = co_await m_node.applyConfiguration(exchange.client(), std::move(*parsed.configuration), *expected);
    if (const auto* accepted = std::get_if<ApplyAccepted>(&outcome)) {
        m_context.log.record(LogLevel::Info, "configuration_applied", { { "operator", name }, { "version", accepted->version } });
        const json::object body { { "version", accepted->version } };
        co_await respond(exchange, jsonResponse(200, json::serialize(body)));
    } else if (const auto* versionConflict = std::get_if<ApplyConflict>(&outcome)) {
        co_await respond(exchange, conflictResponse(proposed, versionConflict->currentConfiguration));
    } else if (const auto* rejection = std::get_if<ApplyRejected>(&outcome)) {
        co_await respond(exchange, rejectionResponse(rejection->error));
    } else {
        const auto isUnknown = std::get<ApplyUnavailable>(outcome).mayHaveTakenEffect;
        const ApiError error(503, "platform_unavailable", "the platform can't be reached", isUnknown ? ExecutionOutcome::Unknown : ExecutionOutcome::NotRun, jitteredDelay(platformRetryDelay));
        co_await respond(exchange, toResponse(error));
    }
}

auto AdminApi::conflictResponse(const Configuration& proposed, const std::shared_ptr<const Configuration>& currentConfiguration) const -> HttpResponse
{
    auto body = toJson(ApiError(409, "version_conflict", "another change came first"));
    if (currentConfiguration) {
        json::array changes;
        for (const auto& change : diffConfigurations(*currentConfiguration, proposed))
            changes.push_back(changeToJson(change));
        body["version"] = currentConfiguration->version;
        body["configuration"] = toJson(*currentConfiguration);
        body["changes"] = std::move(changes);
    }
    return jsonResponse(409, json::serialize(body));
}

}

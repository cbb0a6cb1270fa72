#include "ConfigurationApply.h"

#include "ClusterDocuments.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <random>

namespace jayhold {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Attempt ids of earlier changes kept in the object. A change whose reply was lost is recognised
/// until this many later changes have followed.
constexpr std::size_t maxKeptAttempts = 32;
/// Attempts to read the object back after a lost reply.
constexpr int maxReadBacks = 5;
constexpr auto readBackDelay = std::chrono::milliseconds(300);

auto newAttemptId(const ClusterCore& core) -> std::string
{
    std::random_device device;
    return core.settings.instance + "-" + std::to_string(device()) + std::to_string(device());
}

auto attemptsOf(const json::value& value) -> json::array
{
    const auto* object = value.if_object();
    const auto* attempts = object ? object->if_contains("attempts") : nullptr;
    return attempts && attempts->is_array() ? attempts->get_array() : json::array();
}

auto hasAttempt(const json::value& value, const std::string& attempt) -> bool
{
    const auto attempts = attemptsOf(value);
    return std::ranges::any_of(attempts, [&](const json::value& item) { return item.is_string() && item.get_string() == attempt; });
}

auto makeObject(const json::value& previous, const Configuration& next, const std::string& attempt) -> json::value
{
    auto attempts = attemptsOf(previous);
    attempts.emplace_back(attempt);
    while (attempts.size() > maxKeptAttempts)
        attempts.erase(attempts.begin());
    return json::object { { "attempts", std::move(attempts) }, { "configuration", toJson(next) } };
}

auto findConfigError(const Configuration& next, std::int64_t expectedVersion) -> std::optional<ConfigError>
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<ConfigError>> {
            BOOST_LEAF_CHECK(validateConfiguration(next));
            BOOST_LEAF_CHECK(checkVersionIsNewer(next, expectedVersion));
            return std::nullopt;
        },
        [](const ConfigError& error) -> std::optional<ConfigError> { return error; },
        []() -> std::optional<ConfigError> { return ConfigError { ConfigErrorCode::MalformedJson, "$", "the configuration can't be checked" }; });
}

auto activateOnFirstThread(ClusterPointer core, Configuration configuration) -> asio::awaitable<void>
{
    if (!core->isStopped)
        activateConfiguration(*core, std::move(configuration));
    co_return;
}

/// Activates an accepted configuration on this instance before the operator gets the response.
auto activateAccepted(ClusterPointer core, Configuration next) -> asio::awaitable<ApplyOutcome>
{
    const auto version = next.version;
    co_await asio::co_spawn(core->threads.context(0), activateOnFirstThread(core, std::move(next)), asio::use_awaitable);
    co_return ApplyAccepted { version };
}

auto makeConflict(const StoredObject& object) -> ApplyOutcome
{
    auto configuration = readConfiguration(object.value);
    return ApplyConflict { configuration ? std::make_shared<const Configuration>(std::move(*configuration)) : nullptr };
}

/// Determines from the object whether an update whose reply was lost took effect. While the object
/// still has the revision that the update expects, the update may still arrive.
auto readBack(ClusterPointer core, HttpClient& client, Configuration next, std::string attempt, std::int64_t expectedRevision) -> asio::awaitable<ApplyOutcome>
{
    for (int readBacks = 0; readBacks < maxReadBacks && !core->isStopped; ++readBacks) {
        const auto object = co_await core->store.read(client, std::string(configurationObject));
        if (object.has_value() && hasAttempt(object->value, attempt))
            co_return co_await activateAccepted(core, std::move(next));
        if (object.has_value() && object->revision != expectedRevision)
            co_return makeConflict(*object);
        co_await pause(readBackDelay);
    }
    co_return ApplyUnavailable { true };
}

}

auto applyConfigurationChange(ClusterPointer core, HttpClient& client, Configuration next, std::int64_t expectedVersion) -> asio::awaitable<ApplyOutcome>
{
    if (auto error = findConfigError(next, expectedVersion))
        co_return ApplyRejected { std::move(*error) };
    const auto current = co_await core->store.read(client, std::string(configurationObject));
    if (current.has_error())
        co_return ApplyUnavailable { false };
    const auto previous = current->revision == 0 ? std::nullopt : readConfiguration(current->value);
    if (current->revision != 0 && !previous)
        co_return ApplyUnavailable { false };
    if ((previous ? previous->version : 0) != expectedVersion)
        co_return makeConflict(*current);
    auto attempt = newAttemptId(*core);
    auto value = makeObject(current->value, next, attempt);
    const auto outcome = co_await core->store.update(client, std::string(configurationObject), std::move(value), current->revision);
    if (outcome.has_error()) {
        const auto kind = outcome.error().kind;
        if (kind == StoreErrorKind::Unavailable || kind == StoreErrorKind::OverBudget)
            co_return ApplyUnavailable { false };
        co_return co_await readBack(core, client, std::move(next), std::move(attempt), current->revision);
    }
    const auto* conflict = std::get_if<UpdateConflict>(&*outcome);
    if (conflict && !hasAttempt(conflict->current.value, attempt))
        co_return makeConflict(conflict->current);
    co_return co_await activateAccepted(core, std::move(next));
}

}

#include "LoadMessage.h"

#include "JsonFields.h"
#include "StoreRevision.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr std::size_t usageFieldCount = 4;

/// Revisions of a store that names no history. Earlier versions know only these, and would take a greater revision for a
/// change that they lack.
constexpr std::string_view plainRevisionsField = "revisions";
/// Revisions of a store that names its history.
constexpr std::string_view revisionsField = "history_revisions";

auto readCount(const json::value& value, std::uint32_t& count) -> bool
{
    boost::system::error_code code;
    count = value.to_number<std::uint32_t>(code);
    return !code;
}

auto toJson(const LimitReport& report) -> json::value
{
    const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(report.age).count();
    return json::array { report.backend, report.incarnation, report.perSecond ? json::value(*report.perSecond) : json::value(), ageMs };
}

auto readLimit(const json::value& value) -> std::optional<LimitReport>
{
    constexpr std::size_t fieldCount = 4;
    const auto* fields = value.if_array();
    if (!fields || fields->size() != fieldCount || !ifName((*fields)[0]) || !ifName((*fields)[1]))
        return std::nullopt;
    LimitReport report;
    report.backend = (*fields)[0].get_string();
    report.incarnation = (*fields)[1].get_string();
    boost::system::error_code code;
    if (!(*fields)[2].is_null())
        report.perSecond = (*fields)[2].to_number<double>(code);
    if (code || (report.perSecond && (!std::isfinite(*report.perSecond) || *report.perSecond < 0)))
        return std::nullopt;
    const auto ageMs = (*fields)[3].to_number<std::uint32_t>(code);
    report.age = std::chrono::milliseconds(ageMs);
    return code ? std::nullopt : std::optional(std::move(report));
}

auto toJson(const SpeedReport& report) -> json::value
{
    constexpr double steps = 1'000;
    const auto milliseconds = [](Duration duration) { return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(); };
    return json::array { report.backend, report.incarnation, name(report.work), std::round(report.speed * steps) / steps, milliseconds(report.observed), milliseconds(report.age) };
}

auto readSpeed(const json::value& value) -> std::optional<SpeedReport>
{
    constexpr std::size_t fieldCount = 6;
    const auto* fields = value.if_array();
    if (!fields || fields->size() != fieldCount || !ifName((*fields)[0]) || !ifName((*fields)[1]) || !(*fields)[2].is_string())
        return std::nullopt;
    const auto work = workTypeOf(std::string_view((*fields)[2].get_string()));
    boost::system::error_code speedCode;
    const auto speed = (*fields)[3].to_number<double>(speedCode);
    std::uint32_t observedMs = 0;
    std::uint32_t ageMs = 0;
    if (!work || speedCode || !std::isfinite(speed) || speed <= 0 || !readCount((*fields)[4], observedMs) || !readCount((*fields)[5], ageMs))
        return std::nullopt;
    return SpeedReport { std::string((*fields)[0].get_string()), std::string((*fields)[1].get_string()), *work, speed, std::chrono::milliseconds(observedMs), std::chrono::milliseconds(ageMs) };
}

auto readUsage(const json::value& value) -> std::optional<BackendUsage>
{
    const auto* fields = value.if_array();
    if (!fields || fields->size() != usageFieldCount || !ifName((*fields)[0]))
        return std::nullopt;
    BackendUsage usage;
    usage.backend = (*fields)[0].get_string();
    if (!readCount((*fields)[1], usage.slots) || !readCount((*fields)[2], usage.memoryBlocks) || !readCount((*fields)[3], usage.prefillTokens))
        return std::nullopt;
    return usage;
}

/// Adds the greater revision of each kind.
auto readRevisions(const json::object& object, std::string_view field, std::map<std::string, std::int64_t>& revisions) -> void
{
    const auto* kinds = objectField(object, field);
    for (const auto& kind : kinds ? *kinds : json::object()) {
        std::int64_t revision = 0;
        if (readNumber(*kinds, kind.key(), revision))
            revisions[kind.key()] = std::max(revisions[kind.key()], revision);
    }
}

}

auto serializeLoadMessage(const LoadMessage& message) -> std::string
{
    json::array usages;
    for (const auto& usage : message.usages)
        usages.push_back(json::array { usage.backend, usage.slots, usage.memoryBlocks, usage.prefillTokens });
    json::object plainRevisions;
    json::object revisions;
    for (const auto& [kind, revision] : message.revisions)
        (historyOf(revision) == 0 ? plainRevisions : revisions)[kind] = revision;
    json::object object {
        { "instance", message.instance },
        { "run", message.incarnation },
        { "sequence", message.sequence },
        { "uses", std::move(usages) },
        { "changing", json::array(message.backendsChangingRole.begin(), message.backendsChangingRole.end()) },
        { plainRevisionsField, std::move(plainRevisions) },
        { revisionsField, std::move(revisions) },
    };
    if (!message.availabilityZone.empty())
        object["zone"] = message.availabilityZone;
    if (message.isDraining)
        object["draining"] = true;
    if (!message.limits.empty()) {
        json::array limits;
        for (const auto& report : message.limits)
            limits.push_back(toJson(report));
        object["limits"] = std::move(limits);
    }
    if (!message.speeds.empty()) {
        json::array speeds;
        for (const auto& report : message.speeds)
            speeds.push_back(toJson(report));
        object["speeds"] = std::move(speeds);
    }
    if (!message.signatures.empty())
        object["signatures"] = json::array(message.signatures.begin(), message.signatures.end());
    if (!message.suspects.empty()) {
        json::array suspects;
        for (const auto& suspect : message.suspects)
            suspects.push_back(toJson(suspect));
        object["suspects"] = std::move(suspects);
    }
    if (!message.promptReports.empty()) {
        json::array reports;
        for (const auto& report : message.promptReports)
            reports.push_back(toJson(report));
        object["prompts"] = std::move(reports);
    }
    return json::serialize(object);
}

auto parseLoadMessage(std::string_view text) -> std::optional<LoadMessage>
{
    const auto object = parseObject(text);
    LoadMessage message;
    if (!object || !readName(*object, "instance", message.instance) || !readName(*object, "run", message.incarnation) || !readNumber(*object, "sequence", message.sequence))
        return std::nullopt;
    readName(*object, "zone", message.availabilityZone);
    readBoolean(*object, "draining", message.isDraining);
    const auto* usages = arrayField(*object, "uses");
    if (!usages)
        return std::nullopt;
    for (const auto& element : *usages) {
        auto usage = readUsage(element);
        if (!usage)
            return std::nullopt;
        message.usages.push_back(std::move(*usage));
    }
    const auto* backendsChangingRole = arrayField(*object, "changing");
    for (const auto& element : backendsChangingRole ? *backendsChangingRole : json::array()) {
        if (const auto* backend = ifName(element))
            message.backendsChangingRole.emplace_back(*backend);
    }
    const auto* limits = arrayField(*object, "limits");
    for (const auto& element : limits ? *limits : json::array()) {
        if (auto report = readLimit(element))
            message.limits.push_back(std::move(*report));
    }
    const auto* speeds = arrayField(*object, "speeds");
    for (const auto& element : speeds ? *speeds : json::array()) {
        if (auto report = readSpeed(element); report && message.speeds.size() < maxSpeedReportsPerMessage)
            message.speeds.push_back(std::move(*report));
    }
    const auto* signatures = arrayField(*object, "signatures");
    for (const auto& element : signatures ? *signatures : json::array()) {
        boost::system::error_code code;
        const auto signature = element.to_number<std::uint64_t>(code);
        if (!code)
            message.signatures.push_back(signature);
    }
    const auto* suspects = arrayField(*object, "suspects");
    for (const auto& element : suspects ? *suspects : json::array()) {
        if (auto suspect = crashSuspectFromJson(element))
            message.suspects.push_back(std::move(*suspect));
    }
    const auto* reports = arrayField(*object, "prompts");
    for (const auto& element : reports ? *reports : json::array()) {
        if (auto report = promptReportFromJson(element))
            message.promptReports.push_back(std::move(*report));
    }
    readRevisions(*object, plainRevisionsField, message.revisions);
    readRevisions(*object, revisionsField, message.revisions);
    return message;
}

}

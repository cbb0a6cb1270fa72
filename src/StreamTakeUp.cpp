#include "StreamTakeUp.h"

#include <algorithm>

namespace jayhold {

namespace {

auto isRecordedOtherwise(const StreamVersionList& list, const std::string& service, std::string_view version) -> bool
{
    return std::ranges::any_of(list.records, [&](const auto& entry) { return entry.second.service == service && entry.second.version != version; });
}

}

auto name(StreamVersionSource source) -> std::string_view
{
    switch (source) {
    case StreamVersionSource::Memory:
        return "memory";
    case StreamVersionSource::Record:
        return "record";
    case StreamVersionSource::Default:
        return "default";
    case StreamVersionSource::OnlyVersion:
        return "only_version";
    case StreamVersionSource::Unknown:
        return "unknown";
    }
    return "";
}

auto findStreamVersion(const StreamVersionView& view, const StreamVersionList& list, const std::string& service, const std::string& resumed) -> StreamVersionAnswer
{
    const auto record = list.records.find(resumed);
    const auto isFound = record != list.records.end() && record->second.service == service;
    if (list.contradictory.contains(resumed))
        return {};
    if (isFound)
        return { record->second.version, StreamVersionSource::Record, record->second.begunAtMs };
    const auto version = versionWithoutRecord(view);
    // A record of the stream may be in an object that can't be read.
    if (!version || list.unreadable > 0)
        return {};
    const auto isNamed = !resumed.empty() && record == list.records.end();
    if (!isNamed && (!isOnlyListed(view, *version) || isRecordedOtherwise(list, service, *version)))
        return {};
    return { version, StreamVersionSource::Default };
}

auto findStreamVersionWithoutStore(const StreamVersionView& view, TimePoint now, bool isBehind) -> StreamVersionAnswer
{
    StreamVersionAnswer answer { .isStoreAway = true };
    if (isBehind)
        return answer;
    answer.version = onlyVersion(view, now);
    if (answer.version)
        answer.source = StreamVersionSource::OnlyVersion;
    return answer;
}

auto recordNeed(const StreamVersionView& view, const StreamRecordTable& table, TimePoint now, const std::string& request, std::string_view version) -> RecordNeed
{
    const auto* record = findRecord(table, request);
    const auto isRecordedOtherwise = record && record->version != version;
    return isRecordedOtherwise || mayBeStoredOtherwise(table, request, version) ? RecordNeed::Strict : recordNeed(view, now, version);
}

}

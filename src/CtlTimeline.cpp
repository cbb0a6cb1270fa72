#include "CtlCommands.h"

#include "JsonReader.h"
#include "LogLine.h"
#include "LoggedEventJson.h"
#include "Timeline.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <ostream>

namespace jayhold {

namespace json = boost::json;

namespace {

struct EventPage {
    std::vector<LoggedEvent> events;
    HttpResult<HttpResponse> response;
};

auto readPage(const HttpEndpoint& entry, AdminClient& client, std::uint64_t after) -> EventPage
{
    EventPage page { {}, client.call(entry, { "GET", "/admin/v1/events?after=" + std::to_string(after), {}, {} }) };
    if (page.response.has_error() || page.response->status != 200)
        return page;
    boost::system::error_code code;
    const auto value = json::parse(page.response->body, code);
    const auto* object = code ? nullptr : value.if_object();
    const auto* list = object ? object->if_contains("events") : nullptr;
    if (!list || !list->is_array())
        return page;
    for (const auto& item : list->get_array()) {
        if (auto event = loggedEventFromJson(item))
            page.events.push_back(std::move(*event));
    }
    return page;
}

/// Reads the whole event log of an instance, page by page.
/// @return whether every call succeeded.
auto readLog(const HttpEndpoint& entry, AdminClient& client, const CtlOutput& output, std::vector<LoggedEvent>& log) -> bool
{
    while (true) {
        auto page = readPage(entry, client, log.empty() ? 0 : log.back().sequence);
        if (page.response.has_error() || page.response->status != 200) {
            output.errors << toString(entry) << ": ";
            reportFailure(page.response, output);
            return false;
        }
        if (page.events.empty())
            return true;
        log.insert(log.end(), page.events.begin(), page.events.end());
    }
}

auto printEvent(const LoggedEvent& event, bool asJson, std::ostream& stream) -> void
{
    if (asJson) {
        stream << json::serialize(toJson(event)) << '\n';
        return;
    }
    std::vector<LogField> fields { { "instance", event.instance } };
    fields.insert(fields.end(), event.fields.begin(), event.fields.end());
    stream << formatLogLine(event.time, event.event, fields) << '\n';
}

}

auto runTimeline(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode
{
    std::vector<std::vector<LoggedEvent>> logs;
    auto isEveryLogRead = true;
    for (const auto& entry : options.entries)
        isEveryLogRead = readLog(entry, client, output, logs.emplace_back()) && isEveryLogRead;
    const auto merged = mergeTimelines(logs);
    for (const auto& event : filterTimeline(merged, { options.request, options.configurationVersion }))
        printEvent(event, options.printJson, output.result);
    // The events of the instances that responded are printed anyway. The exit code reports that the
    // timeline is incomplete.
    return isEveryLogRead ? ExitCode::Success : ExitCode::Unreachable;
}

}

#include "CtlCommands.h"

#include "FileError.h"
#include "RequestHistory.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <iomanip>
#include <ostream>

namespace jayhold {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

auto addLines(std::string_view text, std::vector<ParsedLogLine>& lines) -> void
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        if (auto line = parseLogLine(text.substr(0, end)))
            lines.push_back(std::move(*line));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

/// @return whether the file was read.
auto addFile(const std::string& path, const CtlOutput& output, std::vector<ParsedLogLine>& lines) -> bool
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(text, readFile(path));
            addLines(text, lines);
            return true;
        },
        [&](const FileError& error) {
            output.errors << describe(error) << '\n';
            return false;
        },
        [&] {
            output.errors << path << ": can't be read\n";
            return false;
        });
}

auto startOf(const RequestHistory& history) -> std::int64_t
{
    for (const auto& event : history.events) {
        if (event.namesRequest && event.line.time)
            return event.line.time->wallMicroseconds;
    }
    return 0;
}

auto toJson(const RequestEvent& event, std::int64_t start) -> json::object
{
    json::object fields;
    for (const auto& field : event.line.fields)
        fields[field.key] = field.value;
    json::object object { { "instance", event.line.instance }, { "event", event.line.event }, { "own", event.namesRequest }, { "fields", std::move(fields) } };
    if (event.line.time) {
        object["time"] = toString(*event.line.time);
        object["offset_us"] = event.line.time->wallMicroseconds - start;
    }
    if (event.line.isTruncated)
        object["cut"] = true;
    return object;
}

auto printJson(const RequestHistory& history, const std::string& request, std::ostream& stream) -> void
{
    json::array events;
    for (const auto& event : history.events)
        events.push_back(toJson(event, startOf(history)));
    const json::object object { { "request", request }, { "outcome", history.outcome }, { "cause", history.cause }, { "events", std::move(events) } };
    stream << json::serialize(object) << '\n';
}

auto printEvent(const RequestEvent& event, std::int64_t start, std::ostream& stream) -> void
{
    constexpr int offsetWidth = 10;
    constexpr double microsecondsPerMillisecond = 1'000;
    if (event.line.time)
        stream << std::setw(offsetWidth) << static_cast<double>(event.line.time->wallMicroseconds - start) / microsecondsPerMillisecond << " ms  ";
    else
        stream << std::setw(offsetWidth) << "?"
               << "     ";
    stream << (event.namesRequest ? "" : "  (") << event.line.instance << ' ' << event.line.event;
    for (const auto& field : event.line.fields) {
        // Every line of the request itself carries its identifier, which the heading already shows.
        if (field.key != "level" && !(event.namesRequest && field.key == "request"))
            stream << ' ' << field.key << '=' << field.value;
    }
    stream << (event.namesRequest ? "" : ")") << (event.line.isTruncated ? " [cut]" : "") << '\n';
}

auto printText(const RequestHistory& history, const std::string& request, std::ostream& stream) -> void
{
    stream << "request " << request << ": " << history.outcome << '\n';
    if (!history.cause.empty())
        stream << "because: " << history.cause << '\n';
    stream << std::fixed << std::setprecision(1);
    for (const auto& event : history.events)
        printEvent(event, startOf(history), stream);
}

}

auto runExplain(const CtlOptions& options, const CtlOutput& output) -> ExitCode
{
    std::vector<std::string> files = options.logFiles;
    files.insert(files.end(), options.arguments.begin() + 1, options.arguments.end());
    if (files.empty())
        files.emplace_back("-");
    std::vector<ParsedLogLine> lines;
    for (const auto& file : files) {
        if (!addFile(file, output, lines))
            return ExitCode::Failed;
    }
    const auto& request = options.arguments.front();
    const auto history = explainRequest(lines, request);
    if (options.printJson)
        printJson(history, request, output.result);
    else
        printText(history, request, output.result);
    return history.events.empty() ? ExitCode::Failed : ExitCode::Success;
}

}

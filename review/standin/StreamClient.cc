#include "StreamClient.h"

#include "Config.h"

#include <cstdlib>

namespace review {

namespace {

/// Reads the data line of an event: version, engine, request.
auto addEvent(const std::string& event, StreamResult& result) -> void
{
    const auto data = event.find("data: ");
    if (data == std::string::npos)
        return;
    const auto version = event.find(' ', data) + 1;
    const auto engine = event.find(' ', version) + 1;
    ++result.events;
    result.versions.insert(event.substr(version, engine - 1 - version));
    result.engines.insert(event.substr(engine, event.find(' ', engine) - engine));
}

}

auto runStream(const Address& front, const std::string& id, const std::string& path, int deadlineMs) -> StreamResult
{
    StreamResult result;
    Connection connection(connectTo(front, 1'000));
    const Headers headers { { "Host", callerHost }, { "Request-Id", id }, { "Model", "m" }, { "Token-Counts", "3200,72" }, { "Prompt-Prefix", "5c1e07a2:200," + std::to_string(std::hash<std::string> {}(id) % 1'000'000) + ":3000" }, { "Deadline-Ms", std::to_string(deadlineMs) } };
    Message head;
    if (!connection.write(request("POST", path, headers, std::string(600, 'p'))) || !connection.readHead(head, deadlineMs))
        return result;
    result.status = head.status();
    if (result.status != 200)
        return result;
    std::string chunks;
    while (true) {
        const auto part = connection.readSome(deadlineMs);
        chunks += part;
        // Events and the frames of chunks have empty lines only at their ends.
        for (auto end = chunks.find("\n\n"); end != std::string::npos; end = chunks.find("\n\n")) {
            addEvent(chunks.substr(0, end), result);
            chunks.erase(0, end + 2);
        }
        result.isComplete = chunks.find("0\r\n\r\n") != std::string::npos;
        if (part.empty() || result.isComplete)
            return result;
    }
}

auto describe(const StreamResult& result) -> std::string
{
    std::string text = "status " + std::to_string(result.status) + ", " + std::to_string(result.events) + " events, " + (result.isComplete ? "complete" : "not complete") + ", software";
    for (const auto& version : result.versions)
        text += " " + version;
    text += ", engines";
    for (const auto& engine : result.engines)
        text += " " + engine;
    return text;
}

}

#include "StreamClient.h"

#include "Config.h"

#include <cstdlib>

namespace review {

namespace {

/// Reads the data line of an event: version, engine, request.
auto addEvent(const std::string& event, StreamResult& result) -> void
{
    const auto number = event.find("id: ");
    if (number != std::string::npos)
        result.lastEvent = std::atoi(event.c_str() + number + 4);
    const auto data = event.find("data: ");
    if (data == std::string::npos)
        return;
    const auto version = event.find(' ', data) + 1;
    const auto engine = event.find(' ', version) + 1;
    ++result.events;
    result.versions.insert(event.substr(version, engine - 1 - version));
    result.engines.insert(event.substr(engine, event.find(' ', engine) - engine));
}

/// Sends a request and adds what arrives to the result.
auto addStream(const Address& front, const std::string& id, const std::string& path, int deadlineMs, const Headers& more, StreamResult& result) -> void
{
    Connection connection(connectTo(front, 1'000));
    Headers headers { { "Host", callerHost }, { "Request-Id", id }, { "Model", "m" }, { "Token-Counts", "3200,72" }, { "Prompt-Prefix", "5c1e07a2:200," + std::to_string(std::hash<std::string> {}(id) % 1'000'000) + ":3000" }, { "Deadline-Ms", std::to_string(deadlineMs) } };
    headers.insert(headers.end(), more.begin(), more.end());
    Message head;
    if (!connection.write(request("POST", path, headers, std::string(600, 'p'))) || !connection.readHead(head, deadlineMs))
        return;
    result.status = head.status();
    if (result.status != 200)
        return;
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
            return;
    }
}

}

auto runStream(const Address& front, const std::string& id, const std::string& path, int deadlineMs) -> StreamResult
{
    StreamResult result;
    addStream(front, id, path, deadlineMs, {}, result);
    return result;
}

auto runStreamWithTakeUp(const Address& front, const Address& otherFront, const std::string& id, const std::string& path, int deadlineMs) -> StreamResult
{
    const auto begin = elapsed();
    auto result = runStream(front, id, path, deadlineMs);
    const auto left = deadlineMs - static_cast<int>((elapsed() - begin) * 1'000);
    if (result.isComplete || result.events == 0 || left < 1'000)
        return result;
    addStream(otherFront, id + "-again", path, left, { { "Last-Event-Id", std::to_string(result.lastEvent) }, { "Resumes", id } }, result);
    return result;
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

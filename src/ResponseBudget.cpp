#include "ResponseBudget.h"

#include <string_view>
#include <utility>

namespace jayhold {

ResponseBudget::ResponseBudget(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

auto ResponseBudget::onEnded(std::function<void(const EndedResponse&)> callback) -> void
{
    m_onEnded = std::move(callback);
}

auto ResponseBudget::add(std::string server, std::function<void()> end) -> ResponseId
{
    const std::lock_guard guard(m_lock);
    m_responses.emplace(++m_lastId, Response { .server = std::move(server), .end = std::move(end) });
    return m_lastId;
}

auto ResponseBudget::resize(ResponseId id, std::size_t bytes) -> bool
{
    const auto counted = bytes > uncountedBytes ? bytes : 0;
    std::vector<Response> ended;
    auto mayGoOn = true;
    std::size_t totalBytes = 0;
    {
        const std::lock_guard guard(m_lock);
        auto& response = m_responses.at(id);
        if (response.isEnded)
            return false;
        totalBytes = m_heldBytes;
        mayGoOn = counted <= response.bytes || makeRoomLocked(response, counted, ended);
        if (mayGoOn) {
            m_heldBytes = m_heldBytes - response.bytes + counted;
            response.bytes = counted;
        }
    }
    for (const auto& response : ended) {
        m_onEnded({ response.server, response.bytes, totalBytes });
        if (response.end)
            response.end();
    }
    return mayGoOn;
}

auto ResponseBudget::makeRoomLocked(Response& response, std::size_t bytes, std::vector<Response>& ended) -> bool
{
    const auto growth = bytes - response.bytes;
    while (m_heldBytes - m_endingBytes + growth > m_limitBytes) {
        auto& largest = largestLocked(response, bytes);
        endLocked(largest, ended);
        if (&largest == &response)
            return false;
    }
    if (m_heldBytes + growth <= 2 * m_limitBytes)
        return true;
    endLocked(response, ended);
    return false;
}

auto ResponseBudget::largestLocked(Response& asking, std::size_t bytes) -> Response&
{
    const auto canEnd = [](const Response& response) { return !response.isComplete && !response.isEnded; };
    const auto bytesOf = [&](const Response& response) { return &response == &asking ? bytes : response.bytes; };
    std::map<std::string_view, std::size_t> serverBytes;
    for (const auto& [id, response] : m_responses) {
        if (canEnd(response))
            serverBytes[response.server] += bytesOf(response);
    }
    auto* largest = &asking;
    for (auto& [id, response] : m_responses) {
        if (canEnd(response) && std::pair(serverBytes[response.server], bytesOf(response)) > std::pair(serverBytes[largest->server], bytesOf(*largest)))
            largest = &response;
    }
    return *largest;
}

auto ResponseBudget::endLocked(Response& response, std::vector<Response>& ended) -> void
{
    response.isEnded = true;
    m_endingBytes += response.bytes;
    ++m_endedResponses;
    ended.push_back({ .server = response.server, .end = std::exchange(response.end, nullptr), .bytes = response.bytes });
}

auto ResponseBudget::complete(ResponseId id) -> bool
{
    const std::lock_guard guard(m_lock);
    auto& response = m_responses.at(id);
    response.isComplete = true;
    response.end = nullptr;
    return !response.isEnded;
}

auto ResponseBudget::remove(ResponseId id) -> void
{
    const std::lock_guard guard(m_lock);
    const auto found = m_responses.find(id);
    if (found == m_responses.end())
        return;
    m_heldBytes -= found->second.bytes;
    if (found->second.isEnded)
        m_endingBytes -= found->second.bytes;
    m_responses.erase(found);
}

}

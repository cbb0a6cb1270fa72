#pragma once

/// Limits the bytes of backend responses that a process holds at the same time. The limit of one response does
/// not bound their sum: a faulty server can send bytes without end on many connections at once. Contains no
/// network code; all members are thread-safe.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jayhold {

/// A response that was ended because the budget was used up.
struct EndedResponse {
    /// Address of the server that sent it.
    std::string server;
    /// Bytes held of it, and of all responses together.
    std::size_t bytes = 0;
    std::size_t totalBytes = 0;
};

class ResponseBudget {
public:
    using ResponseId = std::uint64_t;

    /// Responses up to this size are not counted, so that calls with small responses succeed while the budget is
    /// used up.
    static constexpr std::size_t uncountedBytes = 32'768;
    /// For processes whose memory is not known.
    static constexpr std::size_t defaultLimitBytes = 64U << 20U;

    /// @param limitBytes responses are ended when more bytes than this are held. Those that were told to end still hold
    /// their bytes for a moment; together with them, at most twice as many bytes are held.
    explicit ResponseBudget(std::size_t limitBytes);

    /// Sets a callback for each response that is ended, which runs on the thread that asked for more bytes. Must be set
    /// before the first response.
    auto onEnded(std::function<void(const EndedResponse&)> callback) -> void;

    /// @param end called at most once, on any thread, if the response has to end for the sake of another one.
    auto add(std::string server, std::function<void()> end) -> ResponseId;

    /// Asks to hold a number of bytes of a response. If that exceeds the budget, the largest responses of the server whose
    /// responses hold most are ended, this one included: a faulty server affects many calls, and each of them may hold
    /// less than a large response of a sound server.
    /// @return whether the response may go on; false also if it was ended before.
    auto resize(ResponseId id, std::size_t bytes) -> bool;

    /// Records that the response has arrived. It holds its bytes until it is removed, and is not ended any more.
    /// @return false if it was ended before.
    auto complete(ResponseId id) -> bool;

    /// Releases the bytes of a response.
    auto remove(ResponseId id) -> void;

    auto heldBytes() const -> std::size_t { return m_heldBytes; }
    auto limitBytes() const -> std::size_t { return m_limitBytes; }
    /// @return number of responses that were ended.
    auto endedResponses() const -> std::uint64_t { return m_endedResponses; }

private:
    struct Response {
        std::string server;
        std::function<void()> end;
        std::size_t bytes = 0;
        bool isComplete = false;
        bool isEnded = false;
    };

    /// Ends responses, the given one at last, until its growth fits into the budget.
    /// @param ended receives the responses to end.
    /// @return whether the given one may grow.
    auto makeRoomLocked(Response& response, std::size_t bytes, std::vector<Response>& ended) -> bool;
    /// @param asking response that asks to hold the given number of bytes.
    /// @return the largest response of the server whose unfinished responses hold most; the asking one among equals.
    auto largestLocked(Response& asking, std::size_t bytes) -> Response&;
    auto endLocked(Response& response, std::vector<Response>& ended) -> void;

    const std::size_t m_limitBytes;
    std::function<void(const EndedResponse&)> m_onEnded = [](const EndedResponse&) {};
    mutable std::mutex m_lock;
    std::map<ResponseId, Response> m_responses;
    ResponseId m_lastId = 0;
    std::atomic<std::size_t> m_heldBytes { 0 };
    /// Bytes of responses that were told to end and have not been removed.
    std::size_t m_endingBytes = 0;
    std::atomic<std::uint64_t> m_endedResponses { 0 };
};

}

#pragma once

/// What the status and header of a backend server's response say about the server, apart from the call.

#include "BackendServer.h"
#include "Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace jayhold {

/// How a response belongs to the call on whose connection it arrived.
enum class ResponseOrigin : std::uint8_t {
    /// It is the response to this prefill, decode or plain call.
    Call,
    /// It is the response to a control call, such as the reservation of a slot.
    ControlCall,
    /// It doesn't repeat the id of the call, so it may belong to another call, or another program may have sent it.
    Unidentified,
};

struct BackendNotice {
    unsigned status = 0;
    ResponseOrigin origin = ResponseOrigin::Call;
    /// Id of the server that responded, if the response names it. Another server than the called one may have its
    /// address.
    std::string responder;
    /// The calls a second that the server takes from all instances together, if it names a limit.
    std::optional<double> callsPerSecond;
    /// Whether the server says that it is leaving.
    bool isLeaving = false;
    /// The time for which the server asks to wait, if it has rejected the call with status 503 and names one.
    std::optional<Duration> retryDelay;
};

/// Receives the notice of a response as soon as its header has arrived.
/// @param server the called server.
/// @param sentAt when the call was sent.
using NoticeHandler = std::function<void(const BackendServer& server, TimePoint sentAt, const BackendNotice& notice)>;

/// @return the handler that ignores all notices.
inline auto ignoreNotices() -> NoticeHandler
{
    return [](const BackendServer&, TimePoint, const BackendNotice&) {};
}

}

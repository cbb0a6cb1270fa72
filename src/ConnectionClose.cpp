#include "ConnectionClose.h"

namespace jayhold {

auto name(CloseReason reason) -> std::string_view
{
    switch (reason) {
    case CloseReason::IdleTimeout:
        return "idle_timeout";
    case CloseReason::Drain:
        return "drain";
    case CloseReason::CallerClosed:
        return "caller_closed";
    case CloseReason::CallerAskedForClose:
        return "caller_asked";
    case CloseReason::RequestError:
        return "request_error";
    case CloseReason::WriteFailed:
        return "write_failed";
    case CloseReason::Aborted:
        return "aborted";
    case CloseReason::Exception:
        return "exception";
    }
    return "unknown";
}

}

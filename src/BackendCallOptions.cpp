#include "BackendCallOptions.h"

namespace jayhold {

auto backendCallOptions(const BackendServer& server, Duration timeout, std::function<bool()> mayResend) -> HttpCallOptions
{
    HttpCallOptions options;
    options.timeout = timeout;
    // The connection pool drops an idle connection well before its peer closes it, so calls that must not
    // be repeated can reuse one, too.
    options.mayReuse = true;
    // Silence of a server does not show that it has given up the call.
    options.outlastsSilence = true;
    options.mayResend = std::move(mayResend);
    // A restarted backend server has the same id, but is another process.
    options.peer = server.id + "/" + server.incarnation;
    return options;
}

}

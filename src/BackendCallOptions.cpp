#include "BackendCallOptions.h"

namespace jayhold {

auto backendCallOptions(const BackendServer& server, Duration timeout, bool isRepeatable) -> HttpCallOptions
{
    HttpCallOptions options;
    options.timeout = timeout;
    // The pool drops an idle connection well before its peer closes it, so calls that may not be
    // repeated use one, too.
    options.mayReuse = true;
    options.mayResend = isRepeatable;
    // Two runs of one id are two processes.
    options.peer = server.id + "/" + server.incarnation;
    return options;
}

}

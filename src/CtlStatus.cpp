#include "CtlCommands.h"

#include "JsonTables.h"

#include <boost/json/parse.hpp>

#include <ostream>

namespace jayhold {

namespace json = boost::json;

auto runStatus(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode
{
    const auto response = client.callFirstReachable(options.entries, { "GET", "/admin/v1/status", {}, {} });
    if (response.has_error() || response->status != 200)
        return reportFailure(response, output);
    boost::system::error_code code;
    const auto status = json::parse(response->body, code);
    if (options.printJson || code || !status.is_object())
        output.result << response->body << '\n';
    else
        printObject(status.get_object(), output.result);
    return ExitCode::Success;
}

}

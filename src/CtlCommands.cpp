#include "CtlCommands.h"

#include "Sha256.h"

#include <iostream>

namespace jayhold {

auto reportFailure(const HttpResult<HttpResponse>& response, const CtlOutput& output) -> ExitCode
{
    if (response.has_error()) {
        output.errors << "no entry instance answered: " << name(response.error().kind) << ": " << response.error().detail << '\n';
        return ExitCode::Unreachable;
    }
    output.errors << "the entry instance answered " << response->status << ": " << response->body << '\n';
    return ExitCode::Failed;
}

auto runHashKey(std::istream& input, const CtlOutput& output) -> ExitCode
{
    std::string key;
    if (!std::getline(input, key) || key.empty()) {
        output.errors << "no key on standard input\n";
        return ExitCode::Usage;
    }
    output.result << sha256Hex(key) << '\n';
    return ExitCode::Success;
}

auto runDrain(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode
{
    if (options.entries.size() != 1) {
        output.errors << "drain takes exactly one --entry\n";
        return ExitCode::Usage;
    }
    const auto response = client.call(options.entries.front(), { "POST", "/admin/v1/drain", {}, {} });
    if (response.has_error() || response->status != 200)
        return reportFailure(response, output);
    output.result << response->body << '\n';
    return ExitCode::Success;
}

auto runCtlCommand(const CtlOptions& options, const CtlOutput& output) -> ExitCode
{
    if (options.command == "check")
        return runCheck(options, output);
    if (options.command == "hash-key")
        return runHashKey(std::cin, output);
    if (options.command == "explain")
        return runExplain(options, output);
    AdminClient client(options.operatorKey);
    if (options.command == "apply")
        return runApply(options, client, output);
    if (options.command == "show")
        return runShow(options, client, output);
    if (options.command == "diff")
        return runDiff(options, client, output);
    if (options.command == "status")
        return runStatus(options, client, output);
    if (options.command == "placement")
        return runPlacement(options, client, output);
    if (options.command == "drain")
        return runDrain(options, client, output);
    return runTimeline(options, client, output);
}

}

#pragma once

/// The commands of jayholdctl. Each command writes its result and its error messages to the given
/// streams and returns the exit code.

#include "AdminClient.h"
#include "CtlOptions.h"
#include "ExitCode.h"

#include <iosfwd>

namespace jayhold {

/// The output streams of a command.
struct CtlOutput {
    std::ostream& result;
    std::ostream& errors;
};

/// Runs the command given by the options.
auto runCtlCommand(const CtlOptions& options, const CtlOutput& output) -> ExitCode;

auto runCheck(const CtlOptions& options, const CtlOutput& output) -> ExitCode;
auto runApply(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runShow(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runDiff(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runStatus(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
/// Prints where a request would be placed now, and why.
auto runPlacement(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runDrain(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runTimeline(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
/// Prints the history of one request from log files.
auto runExplain(const CtlOptions& options, const CtlOutput& output) -> ExitCode;
auto runHashKey(std::istream& input, const CtlOutput& output) -> ExitCode;

/// Prints an error message for a call that failed or whose response is not a success.
/// @return Unreachable without a response, otherwise Failed.
auto reportFailure(const HttpResult<HttpResponse>& response, const CtlOutput& output) -> ExitCode;

}

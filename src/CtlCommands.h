#pragma once

/// The commands of jayholdctl. Each writes its result to the given stream, problems to the error
/// stream, and returns the exit code.

#include "AdminClient.h"
#include "CtlOptions.h"
#include "ExitCode.h"

#include <iosfwd>

namespace jayhold {

/// Where a command writes.
struct CtlOutput {
    std::ostream& result;
    std::ostream& errors;
};

/// Runs the command that the options name.
auto runCtlCommand(const CtlOptions& options, const CtlOutput& output) -> ExitCode;

auto runCheck(const CtlOptions& options, const CtlOutput& output) -> ExitCode;
auto runApply(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runShow(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runDiff(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runStatus(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runDrain(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
auto runTimeline(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode;
/// Prints the history of one request from log files.
auto runExplain(const CtlOptions& options, const CtlOutput& output) -> ExitCode;
auto runHashKey(std::istream& input, const CtlOutput& output) -> ExitCode;

/// Reports a call that got no answer or one that is not a success.
/// @return Unreachable or Failed.
auto reportFailure(const HttpResult<HttpResponse>& answer, const CtlOutput& output) -> ExitCode;

}

#pragma once

/// The signals and the prompt part with which the soak changes the behaviour of standin-replica.

#include <csignal>
#include <string_view>

namespace jayhold::soak {

/// A server crashes when it begins an answer to a prompt with this part.
inline constexpr std::string_view crashingPart = "dead";
/// Target of the plain call that crashes each server that runs it.
inline constexpr std::string_view crashingTarget = "/read/crash";
inline constexpr int crashExitCode = 70;

/// Begins the keys of all customers, by which a key is found wherever it appears.
inline constexpr std::string_view keyMark = "soak-key-";

/// The server says in all answers that it is leaving.
inline constexpr int leaveSignal = SIGUSR1;
/// Begins or ends a time in which the server rejects all requests.
inline constexpr int rejectSignal = SIGUSR2;

/// @return the signal that begins or ends a time in which the streams of the server are silent.
inline auto silenceSignal(bool begins) -> int
{
    return SIGRTMIN + (begins ? 0 : 1);
}

/// @return the signal that begins or ends a time in which the server has no free slot.
inline auto fullSignal(bool begins) -> int
{
    return SIGRTMIN + (begins ? 2 : 3);
}

}

#pragma once

/// Sends one planned call, with its retries, and checks the answer.

#include "CallPlan.h"
#include "CallResult.h"
#include "HttpClient.h"
#include "LoadSettings.h"

#include <atomic>

namespace jayhold {

/// @param nextEntry counts up with every call, so that entries are used in turn.
auto runCall(HttpClient& client, const LoadSettings& settings, CallPlan plan, std::atomic<std::size_t>& nextEntry) -> boost::asio::awaitable<CallResult>;

}

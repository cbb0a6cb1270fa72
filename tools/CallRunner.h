#pragma once

/// Sends one planned call, with its retries, and verifies the response.

#include "CallPlan.h"
#include "CallResult.h"
#include "HttpClient.h"
#include "LoadSettings.h"

#include <atomic>

namespace jayhold {

/// @param nextEntry is incremented by every call, so that entry instances are used in turn.
auto runCall(HttpClient& client, const LoadSettings& settings, CallPlan plan, std::atomic<std::size_t>& nextEntry) -> boost::asio::awaitable<CallResult>;

}

#pragma once

/// The JSON messages between an entry instance and an engine.

#include "EngineCacheEvents.h"
#include "EngineCall.h"
#include "EngineLoad.h"
#include "PrefillResult.h"

#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

auto serializePrefillCall(const EngineCall& call) -> std::string;
auto serializeDecodeCall(const EngineCall& call) -> std::string;
auto serializeCancelCall(std::string_view requestId) -> std::string;

/// Each parser returns std::nullopt for malformed text.
auto parsePrefillResult(std::string_view text) -> std::optional<PrefillResult>;
auto parseEngineLoad(std::string_view text) -> std::optional<EngineLoad>;
auto parseCacheEvents(std::string_view text) -> std::optional<EngineCacheEvents>;

}

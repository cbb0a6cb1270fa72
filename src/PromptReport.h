#pragma once

/// What an instance tells its peers about the prompts of a model service: that a request without an answer
/// was on an engine that crashed, or that parts which a crash makes suspicious are harmless.

#include "CrashedPrompt.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace jayhold {

struct PromptReport {
    std::string service;
    /// The reporting instance.
    std::string instance;
    /// Distinguishes reports with the same contents.
    std::uint64_t id = 0;
    /// Whether the parts are harmless. Otherwise the prompt was on an engine that crashed.
    bool isHarmless = false;
    CrashedPrompt prompt;
    /// Time from the crash to the report.
    std::chrono::milliseconds age { 0 };

    auto operator<=>(const PromptReport&) const = default;
};

auto toJson(const PromptReport& report) -> boost::json::value;

/// @return the report, or nothing if the value is not a valid report.
auto promptReportFromJson(const boost::json::value& value) -> std::optional<PromptReport>;

}

#pragma once

/// The types of work for which the speed of a backend server is estimated.

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string_view>

namespace jayhold {

enum class WorkType : std::uint8_t {
    Prefill,
    Decode,
    /// A call of a plain service.
    Call,
};

inline auto name(WorkType work) -> std::string_view
{
    switch (work) {
    case WorkType::Prefill:
        return "prefill";
    case WorkType::Decode:
        return "decode";
    case WorkType::Call:
        return "call";
    }
    return "unknown";
}

/// @return the type with the name, or nothing if there is none.
inline auto workTypeOf(std::string_view text) -> std::optional<WorkType>
{
    for (const auto work : { WorkType::Prefill, WorkType::Decode, WorkType::Call }) {
        if (text == name(work))
            return work;
    }
    return std::nullopt;
}

}

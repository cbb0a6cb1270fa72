#pragma once

/// Splits JSON text into the texts of its elements without parsing them, so that each can be parsed on its
/// own and one that can't be parsed costs only itself. The split knows strings and brackets, does not
/// recurse, and does not validate the elements.

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace jayhold {

/// A member of a JSON object. The views refer to the text of the object.
struct JsonMember {
    /// The name as written, without quotes; escape sequences are kept.
    std::string_view name;
    std::string_view value;
};

/// @return the members of the object in their order, or nothing if the text is not a JSON object or its
/// brackets or strings don't end.
auto splitJsonObject(std::string_view text) -> std::optional<std::vector<JsonMember>>;

/// @return the texts of the array's elements in their order, or nothing if the text is not a JSON array or
/// its brackets or strings don't end.
auto splitJsonArray(std::string_view text) -> std::optional<std::vector<std::string_view>>;

/// @return the value of the last member of this name, as JSON parsers keep it; empty if there is none.
auto memberValue(std::span<const JsonMember> members, std::string_view name) -> std::string_view;

}

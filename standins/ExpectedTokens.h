#pragma once

/// The completion that every stand-in engine generates: a pure function of model, prompt and token
/// limit, so that a caller can verify a response byte for byte without asking the engine.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

/// @return the token texts of the completion; every token but the first starts with a space. The
/// number of tokens follows from a hash of the prompt, or from `output=N` in the prompt, and is
/// from 1 to maxTokens.
auto expectedTokens(std::string_view model, std::string_view prompt, std::int64_t maxTokens) -> std::vector<std::string>;

/// @return the token texts joined.
auto expectedText(std::string_view model, std::string_view prompt, std::int64_t maxTokens) -> std::string;

}

#include "StreamRecordKey.h"

#include "Sha256.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Longer ids of many streams would exceed the size of an object in the store.
constexpr std::size_t maxKeyBytes = 128;
constexpr std::string_view digestPrefix = "sha256-";

auto isPrintable(char character) -> bool
{
    return character > ' ' && character <= '~';
}

}

auto streamRecordKey(std::string_view request) -> std::string
{
    // Ids with the prefix are digested too, so that no id is the digest of another one.
    const auto isUsable = request.size() <= maxKeyBytes && std::ranges::all_of(request, isPrintable) && !request.starts_with(digestPrefix);
    return isUsable ? std::string(request) : std::string(digestPrefix) + sha256Hex(request);
}

}

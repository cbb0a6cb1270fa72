#pragma once

/// What an instance that watches the platform's store tells the others of its zone.

#include "ObjectStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

/// Changes of one kind of objects, without a gap.
struct KindChanges {
    std::string kind;
    /// Revision of the store after which they begin, and up to which they are complete.
    std::int64_t after = 0;
    std::int64_t upTo = 0;
    std::vector<ItemChange> changes;
};

struct DirectoryUpdate {
    std::string instance;
    /// Whether the sender's watches of the store are connected.
    bool isWatching = false;
    std::optional<KindChanges> changes;
};

/// @return the news as JSON.
auto serializeDirectoryUpdate(const DirectoryUpdate& news) -> std::string;

/// @return nothing where the text is no such news, or a change in it can't be read: changes with a gap
/// would pass for complete.
auto parseDirectoryUpdate(std::string_view text) -> std::optional<DirectoryUpdate>;

}

#pragma once

/// The message that a watcher of the platform's store sends to the other instances of its zone.

#include "ObjectStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

/// A contiguous sequence of changes to one kind of objects.
struct KindChanges {
    std::string kind;
    /// The changes are complete from the first revision after `after` up to and including `upTo`.
    std::int64_t after = 0;
    std::int64_t upTo = 0;
    std::vector<ItemChange> changes;
};

struct DirectoryUpdate {
    std::string instance;
    /// Whether the sender's watches of the store are connected.
    bool isWatching = false;
    std::optional<KindChanges> changes;
    /// Greatest history of the store that the sender knows; 0 if it knows none, as senders of earlier versions do.
    std::int64_t history = 0;
};

/// @return the update as JSON text.
auto serializeDirectoryUpdate(const DirectoryUpdate& update) -> std::string;

/// @return the update, or nothing if the text is not a directory update or contains a change that can't
/// be read. Leaving out such a change would make incomplete changes look complete.
auto parseDirectoryUpdate(std::string_view text) -> std::optional<DirectoryUpdate>;

}

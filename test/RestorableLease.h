#pragma once

/// A stored lease object that can be restored from an older copy, as the platform's store does it: the
/// revision counter goes back, numbers are given out again, and the history rises by one.

#include "Lease.h"
#include "StoreRevision.h"

#include <optional>
#include <variant>
#include <vector>

namespace jayhold {

struct RestorableLease {
    /// What a copy of the store contains.
    struct Content {
        /// Revision counter of the store, which other objects increase as well.
        std::int64_t counter = 0;
        /// The object's own number, 0 if it does not exist.
        std::int64_t number = 0;
        std::optional<LeaseGrant> grant;
    };

    std::int64_t history = 0;
    Content content;

    /// @return what a read returns.
    auto read() const -> StoredLease
    {
        return { content.number == 0 ? 0 : makeRevision(history, content.number), history, content.grant };
    }

    /// Applies a conditional update. The store itself compares only its own numbers, so an update that was
    /// expected in an earlier history takes effect if the number is the same again.
    /// @return whether it took effect.
    auto write(const WriteLease& write) -> bool
    {
        if (numberOf(write.expectedRevision) != content.number)
            return false;
        content.number = ++content.counter;
        content.grant = leaseGrantFromJson(toJson(write.grant));
        return true;
    }

    auto restore(Content copy) -> void
    {
        content = std::move(copy);
        ++history;
    }
};

}

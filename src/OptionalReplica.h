#pragma once

/// An optional replica in the size of an identifier.

#include "Identifiers.h"

#include <limits>

namespace jayhold {

class OptionalReplica {
public:
    OptionalReplica() = default;
    OptionalReplica(ReplicaId id)
        : m_id(id)
    {
    }
    auto operator=(ReplicaId id) -> OptionalReplica&
    {
        m_id = id;
        return *this;
    }

    auto reset() -> void { m_id = none; }
    explicit operator bool() const { return m_id != none; }
    auto operator*() const -> ReplicaId { return m_id; }
    friend auto operator==(const OptionalReplica& left, ReplicaId right) -> bool { return left && left.m_id == right; }

private:
    static constexpr ReplicaId none { std::numeric_limits<std::underlying_type_t<ReplicaId>>::max() };

    ReplicaId m_id = none;
};

}

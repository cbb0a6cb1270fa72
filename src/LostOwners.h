#pragma once

/// Tracks instances that are lost, so that another instance releases the memory that engines hold for
/// them.

#include "Time.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace jayhold {

class LostOwners {
public:
    /// Time after which an owner that is not a live member counts as lost even though this instance has
    /// not observed the loss, for example because it started later.
    static constexpr Duration unknownOwnerTimeout = std::chrono::seconds(10);

    auto markLost(std::string_view instance) -> void;

    /// @param isMember whether the instance is a live member now.
    auto isLost(std::string_view instance, bool isMember, TimePoint now) -> bool;

private:
    std::mutex m_lock;
    std::set<std::string, std::less<>> m_lost;
    std::map<std::string, TimePoint, std::less<>> m_nonMemberSince;
};

}

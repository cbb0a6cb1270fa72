#pragma once

/// A question to all other entry instances: which changes of the backend servers they know. Only replies to a question
/// that was asked after an event show what the peers knew after that event; messages that they sent by themselves may
/// have waited for an instance that was cut off or stood still.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jayhold {

struct PeerInquiry {
    /// Counted from 1; 0 before the first inquiry.
    std::uint64_t number = 0;
    /// Names of the instances that were asked.
    std::set<std::string> asked;
    /// The revision of the list of backend servers that each of them has replied with.
    std::map<std::string, std::int64_t> revisions;
};

/// Begins the next inquiry; replies to earlier ones are ignored from then on.
auto beginInquiry(PeerInquiry& inquiry, std::vector<std::string> instances) -> void;

/// @param revision revision up to which the peer has applied changes of the backend servers; 0 if it knows none.
auto recordReply(PeerInquiry& inquiry, std::uint64_t number, const std::string& instance, std::int64_t revision) -> void;

/// @param number the earliest inquiry that counts.
/// @param ownRevision revision up to which this instance has applied changes.
/// @return whether all instances have replied that they know the list of servers, and no later change of it.
auto isConfirmed(const PeerInquiry& inquiry, std::uint64_t number, std::int64_t ownRevision) -> bool;

}

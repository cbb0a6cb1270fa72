#pragma once

/// A gossip message and its compact JSON representation.

#include "CrashSuspect.h"
#include "MemberEntry.h"
#include "PromptReport.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayhold {

struct GossipMessage {
    MemberEntry sender;
    /// Full entries of instances that the receiver may not know yet.
    std::vector<MemberEntry> introductions;
    /// A sample of the heartbeats that the sender has recently received.
    std::vector<HeartbeatEntry> heartbeats;
    /// Version of the sender's instance list, 0 if it has none.
    std::int64_t listVersion = 0;
    /// In a reply, an incarnation of the receiver that the sender has declared dead. The receiver
    /// continues with a higher one.
    std::optional<std::int64_t> deadIncarnation;
    /// Requests full entries in the reply, because the sender lacks the addresses of some instances.
    bool requestsFullEntries = false;
    std::vector<std::uint64_t> signatures;
    std::vector<CrashSuspect> suspects;
    std::vector<PromptReport> promptReports;
    /// Identifiers of backend servers that have announced that they are leaving.
    std::vector<std::string> leaving;

    auto operator==(const GossipMessage&) const -> bool = default;
};

auto toJson(const GossipMessage& message) -> boost::json::value;

/// @return the message, or nothing if the document is not a valid gossip message.
auto gossipMessageFromJson(const boost::json::value& value) -> std::optional<GossipMessage>;

}

#pragma once

/// One gossip message, and its compact JSON form.

#include "CrashSuspect.h"
#include "MemberEntry.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayhold {

struct GossipMessage {
    MemberEntry sender;
    /// Instances that the receiver may not know yet.
    std::vector<MemberEntry> introductions;
    /// A sample of the heartbeats that the sender has heard of lately.
    std::vector<HeartbeatEntry> heartbeats;
    /// Version of the instance list that the sender has, 0 for none.
    std::int64_t listVersion = 0;
    /// In a reply: an incarnation of the receiver that the sender declared dead; the receiver
    /// continues with a higher one.
    std::optional<std::int64_t> deadIncarnation;
    /// Asks for full entries in the reply, because an instance is known here without its address.
    bool requestsFullEntries = false;
    std::vector<std::uint64_t> signatures;
    std::vector<CrashSuspect> suspects;
    /// Identifiers of backend servers that said they are leaving.
    std::vector<std::string> leaving;

    auto operator==(const GossipMessage&) const -> bool = default;
};

auto toJson(const GossipMessage& message) -> boost::json::value;

/// @return the message, or nothing where the document has another form.
auto gossipMessageFromJson(const boost::json::value& value) -> std::optional<GossipMessage>;

}

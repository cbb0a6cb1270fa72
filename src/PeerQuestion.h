#pragma once

/// The datagrams of an inquiry: the question, and the reply of a peer.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

struct PeerQuestion {
    /// Number of the inquiry at the instance that asks.
    std::uint64_t number = 0;
    /// The run of the process that asks; replies to an earlier process are ignored.
    std::string run;
};

struct PeerReply {
    PeerQuestion question;
    /// The instance that replies.
    std::string instance;
    /// Revision of the last change that it has applied, by kind of the store's objects.
    std::map<std::string, std::int64_t> revisions;
};

auto serializeQuestion(const PeerQuestion& question) -> std::string;
auto serializeReply(const PeerReply& reply) -> std::string;

/// @return nothing if the text is no question.
auto parseQuestion(std::string_view text) -> std::optional<PeerQuestion>;
/// @return nothing if the text is no reply.
auto parseReply(std::string_view text) -> std::optional<PeerReply>;

}

#include "PeerInquiry.h"

#include <algorithm>

namespace jayhold {

auto beginInquiry(PeerInquiry& inquiry, std::vector<std::string> instances) -> void
{
    ++inquiry.number;
    inquiry.asked = { instances.begin(), instances.end() };
    inquiry.revisions.clear();
}

auto recordReply(PeerInquiry& inquiry, std::uint64_t number, const std::string& instance, std::int64_t revision) -> void
{
    if (number != inquiry.number)
        return;
    auto& known = inquiry.revisions[instance];
    known = std::max(known, revision);
}

auto isConfirmed(const PeerInquiry& inquiry, std::uint64_t number, std::int64_t ownRevision) -> bool
{
    if (inquiry.number < number)
        return false;
    return std::ranges::all_of(inquiry.asked, [&](const std::string& instance) {
        const auto reply = inquiry.revisions.find(instance);
        return reply != inquiry.revisions.end() && reply->second > 0 && reply->second <= ownRevision;
    });
}

}

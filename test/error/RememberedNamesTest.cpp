#include "BackendLimits.h"
#include "DirectoryUpdate.h"
#include "PeerLoads.h"
#include "QuotaMessage.h"
#include "QuotaView.h"

#include <catch2/catch.hpp>

using namespace jayhold;

namespace {

const auto longestName = std::string(256, 'n');
const auto longName = longestName + "n";

auto messageOf(const std::string& instance, std::size_t usages) -> LoadMessage
{
    LoadMessage message;
    message.instance = instance;
    message.incarnation = "run";
    message.sequence = 1;
    message.usages.resize(usages, { "engine", 1, 1, 1 });
    return message;
}

}

// Guards against a peer whose reservations take the memory of an instance, and against a count that keeps those of silent
// peers, so that nobody's are taken any more.
TEST_CASE("the reservations of all peers together are limited")
{
    const TimePoint now {};
    PeerLoads loads { .maxUsages = 10 };
    CHECK(applyMessage(loads, now, messageOf("a", 6)));
    CHECK_FALSE(applyMessage(loads, now, messageOf("b", 5)));
    CHECK(applyMessage(loads, now, messageOf("c", 4)));
    auto smaller = messageOf("a", 1);
    smaller.sequence = 2;
    CHECK(applyMessage(loads, now, smaller));
    CHECK(applyMessage(loads, now, messageOf("b", 5)));
    CHECK(removeSilentInstances(loads, now + loads.lifetime));
    CHECK(applyMessage(loads, now, messageOf("d", 10)));
}

// Guards against ever new names of instances, and against a listed instance that is not heard because of them.
TEST_CASE("instances beyond the store's list are remembered up to a limit")
{
    const TimePoint now {};
    QuotaView view { .instance = "own", .zone = "alpine", .maxUnlisted = 2 };
    const PeerAddress listed[] = { { .availabilityZone = "alpine", .instance = "listed" } };
    updateKnown(view, listed);
    for (const auto* name : { "a", "b", "c", "d", "e", "f" })
        recordPresence(view, now, name, "alpine", false);
    CHECK(view.peers.size() == view.known.size() + view.maxUnlisted);
    CHECK(recordPresence(view, now, "listed", "alpine", false));
}

// Guards against ever new names of servers, and against a known server whose new limit is ignored because of them.
TEST_CASE("limits of servers are remembered up to a number")
{
    BackendLimits limits { .maxObservations = 1 };
    CHECK(recordLimit(limits, { .backend = "a", .incarnation = "run", .perSecond = 1 }));
    CHECK_FALSE(recordLimit(limits, { .backend = "b", .incarnation = "run", .perSecond = 1 }));
    CHECK(recordLimit(limits, { .backend = "a", .incarnation = "run", .perSecond = 2 }));
}

// Guards against names of up to 64 KB that are kept, and against the longest allowed one being refused.
TEST_CASE("messages with a name that is too long are unreadable")
{
    CHECK(parseLoadMessage(serializeLoadMessage(messageOf(longestName, 1))));
    CHECK_FALSE(parseLoadMessage(serializeLoadMessage(messageOf(longName, 1))));
    CHECK(parseQuotaMessage(serializeQuotaMessage({ .instance = longestName })));
    CHECK_FALSE(parseQuotaMessage(serializeQuotaMessage({ .instance = longName })));
    CHECK(parseDirectoryUpdate(serializeDirectoryUpdate({ .instance = longestName })));
    CHECK_FALSE(parseDirectoryUpdate(serializeDirectoryUpdate({ .instance = longName })));
}

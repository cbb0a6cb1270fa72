#pragma once

/// The part of one instance in the quotas over all instances: the buckets that it owns, its loans, and the questions of its
/// own requests to other owners. A pure state machine: the functions take the boot time and an event, and append messages
/// and decisions to an output. docs/design/quotas.md has the protocol.

#include "Customer.h"
#include "QuotaAccount.h"
#include "QuotaDecision.h"
#include "QuotaLimits.h"
#include "QuotaMessage.h"
#include "QuotaView.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace jayhold {

struct QuotaOwner {
    enum class AskStage : std::uint8_t {
        /// The owner of the zone is asked.
        Owner,
        /// The owner that another instance has named, or the next one after an owner that did not reply.
        NextOwner,
        /// The owner of another zone.
        OtherZone,
    };
    /// A request of this instance that waits for the reply of another one.
    struct OpenAsk {
        /// Number of the request at this instance.
        std::uint64_t request = 0;
        std::string customer;
        std::int64_t amount = 0;
        std::string target;
        AskStage stage = AskStage::Owner;
        std::size_t sends = 0;
        TimePoint resendAt {};
    };
    struct AnsweredAsk {
        QuotaMessage reply;
        TimePoint at {};
    };
    struct OpenLoan {
        std::string customer;
        TimePoint expiresAt {};
    };

    QuotaLimits limits;
    QuotaView view;
    /// Customers with a quota, by name.
    std::map<std::string, QuotaAccount, std::less<>> accounts;
    /// Number of the next question. It starts at a random number, so that numbers of instances differ.
    std::uint64_t nextId = 1;
    bool isIsolated = false;
    /// Whether the owners have to be determined again.
    bool isViewChanged = true;
    TimePoint refreshedAt {};
    /// Time of the last event, which shows that the process stood still.
    TimePoint lastEventAt {};
    /// By the number of the question that was sent last.
    std::map<std::uint64_t, OpenAsk> openAsks;
    /// Questions whose reply is not awaited any more; a grant that still arrives is returned.
    std::map<std::uint64_t, TimePoint> abandonedAsks;
    /// Replies to questions, which are repeated if the question arrives again.
    std::map<std::uint64_t, AnsweredAsk> answeredAsks;
    /// Grants that were returned, each of which counts once.
    std::map<std::uint64_t, TimePoint> returnedGrants;
    std::map<std::uint64_t, OpenLoan> openLoans;
    /// Questions to owners that got no reply.
    std::uint64_t unansweredAsks = 0;
};

/// What follows from an event.
struct QuotaOutput {
    struct Outgoing {
        std::string instance;
        QuotaMessage message;
    };
    struct Outcome {
        /// Number of the request, as askQuota() has returned it.
        std::uint64_t request = 0;
        QuotaDecision decision;
    };
    struct OwnerChange {
        std::string customer;
        std::string previous;
        std::string owner;
    };

    std::vector<Outgoing> messages;
    std::vector<Outcome> outcomes;
    std::vector<OwnerChange> ownerChanges;
};

/// Replaces the quotas by those of the customers of a new configuration.
auto updateQuotas(QuotaOwner& state, TimePoint now, std::span<const Customer> customers, QuotaOutput& output) -> void;

/// Handles a load message of another instance; an empty zone stands for that in the store's list.
auto handlePresence(QuotaOwner& state, TimePoint now, const std::string& instance, const std::string& zone, bool isDraining) -> void;

/// Handles the store's list of instances.
auto handleInstances(QuotaOwner& state, std::span<const PeerAddress> instances) -> void;

/// Asks for the amount of a request of this instance. The decision is in the output at once if no message is needed.
/// @return the number of the request.
auto askQuota(QuotaOwner& state, TimePoint now, const std::string& customer, std::int64_t amount, QuotaOutput& output) -> std::uint64_t;

/// Handles a message of another instance.
auto handleQuotaMessage(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void;

/// Returns the amount of a request that did not run.
auto giveBack(QuotaOwner& state, TimePoint now, const QuotaGrant& grant, QuotaOutput& output) -> void;

/// Handles what is due: questions without a reply, and changes of owners. Must be called at least every 500 ms while there
/// are quotas.
auto advance(QuotaOwner& state, TimePoint now, QuotaOutput& output) -> void;

/// @return when advance() has something to do; the maximum if there are no quotas.
auto nextAdvance(const QuotaOwner& state) -> TimePoint;

}

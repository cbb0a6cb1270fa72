#pragma once

/// The parts of QuotaOwner that its source files share; private to them.

#include "QuotaOwner.h"

namespace jayhold {

/// Interval in which owners are determined again.
constexpr Duration quotaRefreshInterval = std::chrono::milliseconds(100);
/// Without a window in the settings, refusals name at most this time.
constexpr Duration defaultQuotaWindow = std::chrono::seconds(8);

/// Begins the processing of an event: empties the buckets after a pause of the process, and determines the owners again if
/// necessary.
auto beginQuotaEvent(QuotaOwner& state, TimePoint now, QuotaOutput& output) -> void;

/// @return a message of this instance.
auto quotaMessage(const QuotaOwner& state, QuotaMessageType type, std::uint64_t id, std::string_view customer, std::int64_t amount) -> QuotaMessage;

/// @return whether this instance may grant amounts to others.
auto ownsQuota(const QuotaOwner& state, const QuotaAccount& account) -> bool;

/// @return the greatest amount of one request. The debt of a greater one could exceed the bound.
auto greatestAmount(const QuotaOwner& state, const Quota& quota) -> double;

auto quotaWindow(const QuotaOwner& state) -> Duration;

/// Decides on a question as the owner; the decision may have to wait for a loan.
auto decideAsOwner(QuotaOwner& state, TimePoint now, const std::string& customer, QuotaAccount& account, QuotaAccount::Waiting question, QuotaOutput& output) -> void;

auto handleAsk(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void;
auto handleLoanRequest(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void;
auto handleLoan(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void;
auto handleReturn(QuotaOwner& state, TimePoint now, const QuotaMessage& message) -> void;
auto handleAskReply(QuotaOwner& state, TimePoint now, const QuotaMessage& message, QuotaOutput& output) -> void;

/// Replies to the questions that wait for a loan that this instance is not the owner any more.
auto dismissWaiting(QuotaOwner& state, const std::string& customer, QuotaAccount& account, QuotaOutput& output) -> void;

/// Goes on with loan rounds whose lender has not replied.
auto advanceLoans(QuotaOwner& state, TimePoint now, QuotaOutput& output) -> void;
/// Repeats questions without a reply, or asks another instance.
auto advanceAsks(QuotaOwner& state, TimePoint now, QuotaOutput& output) -> void;

}

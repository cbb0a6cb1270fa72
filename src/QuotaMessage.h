#pragma once

/// The message by which instances ask for amounts of a customer's quota, grant, lend and return them. Its first field is
/// its type, so that a receiver need not parse other datagrams to tell them apart.

#include "Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

enum class QuotaMessageType : std::uint8_t {
    /// An instance asks the owner for an amount.
    Ask,
    Granted,
    Refused,
    /// The asked instance is not the owner; the message names the one that it knows.
    NotOwner,
    /// An owner asks that of another zone for a loan.
    LoanRequest,
    /// Reply to a loan request; the amount may be 0.
    Loan,
    /// An amount that was granted and not used.
    Return,
};

struct QuotaMessage {
    QuotaMessageType type = QuotaMessageType::Ask;
    /// Sender.
    std::string instance;
    /// Zone of the sender.
    std::string zone;
    /// Number of the question, which its replies and the return of its amount repeat; unique among all instances.
    std::uint64_t id = 0;
    std::string customer;
    std::int64_t amount = 0;
    /// Set in refusals: time after which the owner expects to hold the amount, and the amounts on which that depends.
    Duration retryAfter {};
    std::int64_t available = 0;
    std::int64_t promised = 0;
    /// Set if the receiver of the question is not the owner; empty if it knows none.
    std::string owner {};
    /// Whether the sender is draining, so that it owns nothing.
    bool isDraining = false;

    auto operator==(const QuotaMessage&) const -> bool = default;
};

/// @return whether a datagram is a message about quotas, by its first field.
auto isQuotaMessage(std::string_view text) -> bool;

/// @return the message as JSON text.
auto serializeQuotaMessage(const QuotaMessage& message) -> std::string;

/// @return the message, or nothing if the text is not a message about quotas.
auto parseQuotaMessage(std::string_view text) -> std::optional<QuotaMessage>;

}

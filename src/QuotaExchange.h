#pragma once

/// Applies the quotas of customers over all instances: runs QuotaOwner on the first I/O thread and exchanges its messages
/// with the other instances over the socket of LoadExchange. Without quotas, it does nothing but record which instances
/// are live.

#include "EventLog.h"
#include "IoThreads.h"
#include "PeerPresence.h"
#include "QuotaLimiter.h"
#include "QuotaOwner.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jayhold {

struct QuotaExchangeSettings {
    std::string instance;
    std::string availabilityZone;
    /// Distinguishes successive processes of the instance.
    std::string incarnation;
    QuotaLimits limits;
    /// Maximum number of instances beyond the list of instances that are remembered.
    std::size_t maxUnlistedPeers = ConnectionLimits().unlistedPeers;
};

class QuotaExchange final : public QuotaLimiter, public std::enable_shared_from_this<QuotaExchange> {
public:
    using Endpoint = boost::asio::ip::udp::endpoint;
    /// Sends a datagram to another instance; called on the first I/O thread.
    using Send = std::function<void(const Endpoint& target, const std::string& text)>;

    struct Counts {
        /// By customer; those beyond the first 64 together as `other`.
        std::vector<std::pair<std::string, QuotaCounts>> customers;
        std::uint64_t unansweredAsks = 0;
        bool isIsolated = false;
    };

    QuotaExchange(IoThreads& threads, QuotaExchangeSettings settings, EventLog& log, Send send);
    ~QuotaExchange() override;
    QuotaExchange(const QuotaExchange&) = delete;
    auto operator=(const QuotaExchange&) -> QuotaExchange& = delete;

    auto take(std::string customer, std::int64_t amount) -> boost::asio::awaitable<QuotaDecision> override;
    auto giveBack(QuotaGrant grant) -> void override;

    /// The following functions must be called on the first I/O thread.
    auto updateCustomers(std::span<const Customer> customers) -> void;
    auto updateInstances(std::span<const PeerAddress> instances) -> void;
    auto handlePresence(const PeerPresence& presence, const Endpoint& sender) -> void;
    auto handleDatagram(std::string_view text, const Endpoint& sender) -> void;
    auto startDraining() -> void;
    auto counts() const -> Counts;

private:
    struct State;

    auto takeHere(std::string customer, std::int64_t amount) -> boost::asio::awaitable<QuotaDecision>;
    /// Remembers the address of an instance, unless there are too many.
    auto rememberEndpoint(const std::string& instance, const Endpoint& sender) -> void;
    /// Sends messages, completes requests and sets the timer for what is due next.
    auto process(QuotaOutput output) -> void;
    auto schedule() -> void;
    auto logRefusal(const QuotaDecision& decision) -> void;

    const std::unique_ptr<State> m_state;
};

}

#include "GossipSimulation.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace jayhold {

namespace {

constexpr auto roundInterval = std::chrono::milliseconds(500);
constexpr auto fetchTimeout = std::chrono::seconds(2);
/// Start line and headers as the HTTP library writes them, with a peer key of 32 characters. Only their size
/// is used.
constexpr std::string_view requestHead = "POST /internal/v1/gossip HTTP/1.1\r\nHost: 10.12.34.56:7443\r\n"
                                         "X-Jayhold-Peer: 0123456789abcdef0123456789abcdef\r\nContent-Length: 345\r\n\r\n";
constexpr std::string_view replyHead = "HTTP/1.1 200 OK\r\nContent-Length: 83\r\n\r\n";
constexpr unsigned wholePercent = 100;

auto decode(const std::string& body) -> GossipMessage
{
    return *gossipMessageFromJson(boost::json::parse(body));
}

auto countBytes(GossipInstance& from, GossipInstance& to, std::size_t headBytes, std::size_t bodyBytes) -> void
{
    from.bytesSent += headBytes + bodyBytes;
    to.bytesReceived += headBytes + bodyBytes;
    from.largestBody = std::max<std::uint64_t>(from.largestBody, bodyBytes);
}

}

GossipSimulation::GossipSimulation(const GossipSimulationSettings& settings)
    : m_settings(settings)
{
    m_random.state = settings.seed;
    for (std::size_t zone = 0; zone < settings.zones; ++zone) {
        for (std::size_t number = 0; number < settings.instancesPerZone; ++number)
            addInstance(zone, number);
    }
    setInitialContacts(settings.hasInstanceList);
}

auto GossipSimulation::addInstance(std::size_t zone, std::size_t number) -> void
{
    constexpr std::uint16_t port = 7'443;
    const auto zoneName = "zone-" + std::to_string(zone);
    const HttpEndpoint endpoint { "10.1." + std::to_string(zone) + "." + std::to_string(number), port };
    MembershipSettings membership;
    membership.self = { .id = zoneName + "-" + std::to_string(number), .peerEndpoint = endpoint, .availabilityZone = zoneName, .incarnation = 60'000'000 };
    membership.seed = m_random.next();
    m_byEndpoint[endpoint] = m_instances.size();
    m_instances.push_back({ .membership = makeMembership(membership, m_now), .configuration = {}, .lost = {} });
    // The heartbeat has as many digits as after a day of service, so that message sizes are realistic.
    m_instances.back().membership.heartbeat = 172'800;
}

auto GossipSimulation::setInitialContacts(bool hasInstanceList) -> void
{
    std::vector<Contact> contacts;
    for (const auto& instance : m_instances) {
        const auto& self = instance.membership.self;
        contacts.push_back({ .id = hasInstanceList ? self.id : std::string(), .endpoint = self.peerEndpoint, .availabilityZone = self.availabilityZone });
    }
    if (!hasInstanceList)
        contacts.resize(1);
    for (auto& instance : m_instances)
        setContacts(instance.membership, contacts);
}

auto GossipSimulation::isDelivered(std::size_t from, std::size_t to) -> bool
{
    const auto& receiver = m_instances[to];
    if (!receiver.isRunning || receiver.isFrozen || m_instances[from].networkPartition != receiver.networkPartition)
        return false;
    return m_random.below(wholePercent) >= m_settings.lossPercent;
}

auto GossipSimulation::recordActions(GossipInstance& instance, const std::vector<MembershipAction>& actions) -> void
{
    for (const auto& action : actions) {
        if (const auto* lost = std::get_if<MemberLost>(&action))
            instance.lost.push_back(lost->member.id);
        if (std::holds_alternative<MemberSuspected>(action))
            ++instance.suspicions;
    }
}

auto GossipSimulation::receive(std::size_t index, const GossipMessage& message) -> void
{
    auto& instance = m_instances[index];
    std::vector<MembershipAction> actions;
    mergeMessage(instance.membership, m_now, message, actions);
    recordActions(instance, actions);
    const auto& sender = message.sender.member;
    if (!shouldFetch(instance.configuration, m_now, sender.configurationVersion, fetchTimeout))
        return;
    const auto peer = m_byEndpoint.at(sender.peerEndpoint);
    const auto before = instance.configuration.version;
    if (isDelivered(index, peer) && isDelivered(peer, index))
        acceptIfNewer(instance.configuration, m_instances[peer].configuration.version);
    fetchEnded(instance.configuration);
    instance.hasVersionDecreased = instance.hasVersionDecreased || instance.configuration.version < before;
}

auto GossipSimulation::send(std::size_t from, const GossipTarget& target) -> void
{
    auto& sender = m_instances[from];
    const auto to = m_byEndpoint.at(target.endpoint);
    auto& receiver = m_instances[to];
    auto message = composeMessage(sender.membership, m_now, target.isRemote);
    message.listVersion = 1'000;
    const auto body = boost::json::serialize(toJson(message));
    countBytes(sender, receiver, requestHead.size(), body.size());
    if (!isDelivered(from, to))
        return;
    const auto received = decode(body);
    receive(to, received);
    setSelf(receiver.membership, receiver.configuration.version, false);
    auto reply = composeReply(receiver.membership, m_now, received);
    reply.listVersion = 1'000;
    const auto replyBody = boost::json::serialize(toJson(reply));
    receiver.bytesSent += replyHead.size() + replyBody.size();
    sender.bytesReceived += replyHead.size() + replyBody.size();
    if (isDelivered(to, from))
        receive(from, decode(replyBody));
}

auto GossipSimulation::round() -> void
{
    const auto start = m_now;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        m_now = start + roundInterval * static_cast<int>(index) / static_cast<int>(m_instances.size());
        auto& instance = m_instances[index];
        if (!instance.isRunning || instance.isFrozen)
            continue;
        std::vector<MembershipAction> actions;
        setSelf(instance.membership, instance.configuration.version, false);
        startRound(instance.membership, m_now, actions);
        recordActions(instance, actions);
        for (const auto& target : chooseTargets(instance.membership, m_now))
            send(index, target);
    }
    m_now = start + roundInterval;
}

auto GossipSimulation::rounds(int count) -> void
{
    for (int index = 0; index < count; ++index)
        round();
}

auto GossipSimulation::roundsUntil(const std::function<bool()>& condition, int limit) -> int
{
    for (int count = 0; count <= limit; ++count) {
        if (condition())
            return count;
        round();
    }
    return -1;
}

auto GossipSimulation::haveVersion(std::int64_t version) const -> bool
{
    return std::ranges::all_of(m_instances, [&](const auto& instance) { return !instance.isRunning || instance.configuration.version == version; });
}

auto GossipSimulation::isConverged() const -> bool
{
    for (const auto& instance : m_instances) {
        if (!instance.isRunning)
            continue;
        std::set<std::string> known;
        for (const auto& member : liveMembers(instance.membership)) {
            if (member.availabilityZone == instance.membership.self.availabilityZone)
                known.insert(member.id);
        }
        for (const auto& other : m_instances) {
            const auto& self = other.membership.self;
            if (self.availabilityZone != instance.membership.self.availabilityZone)
                continue;
            if (known.contains(self.id) != other.isRunning)
                return false;
        }
    }
    return true;
}

}

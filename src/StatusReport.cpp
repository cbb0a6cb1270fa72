#include "StatusReport.h"

#include "LoggedEventJson.h"

#include <boost/json/array.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr std::size_t eventsPerPage = 1'000;

auto stateName(ReplicaState state) -> std::string_view
{
    switch (state) {
    case ReplicaState::Live:
        return "live";
    case ReplicaState::Leaving:
        return "leaving";
    case ReplicaState::Gone:
        return "gone";
    }
    return "invalid";
}

auto memberReport(const Member& member) -> json::object
{
    return {
        { "id", member.id },
        { "peer_address", toString(member.peerEndpoint) },
        { "availability_zone", member.availabilityZone },
        { "incarnation", member.incarnation },
        { "configuration_version", member.configurationVersion },
        { "draining", member.isDraining },
    };
}

auto backendReport(const BackendServer& backend) -> json::object
{
    return {
        { "id", backend.id },
        { "address", toString(backend.endpoint) },
        { "availability_zone", backend.availabilityZone },
        { "pool", backend.pool },
        { "state", stateName(backend.state) },
    };
}

auto replicaReport(const ReplicaStatus& replica) -> json::object
{
    auto report = backendReport(replica.backend);
    report["role"] = name(replica.role);
    report["load"] = json::object {
        { "sequence", replica.load.sequence },
        { "running", replica.load.running },
        { "waiting", replica.load.waiting },
        { "free_pieces", replica.load.freeMemoryBlocks },
        { "held", replica.load.held.size() },
    };
    return report;
}

auto shardReport(const ShardSummary& summary) -> json::object
{
    return {
        { "queued", summary.queued },
        { "prefilling", summary.prefilling },
        { "decoding", summary.decoding },
        { "reserved_seats", summary.reservedSlots },
        { "reserved_pieces", summary.reservedMemoryBlocks },
        { "live_replicas", summary.liveReplicas },
        { "prefill_tokens", summary.prefillTokens },
        { "wasted_prefill_tokens", summary.wastedPrefillTokens },
        { "retries", summary.retries },
        { "refused", summary.refused },
        { "finished", summary.finished },
    };
}

auto modelReport(const ModelService& service) -> json::object
{
    json::array replicas;
    for (const auto& replica : service.replicas())
        replicas.push_back(replicaReport(replica));
    return { { "name", service.name() }, { "type", "model" }, { "shard", shardReport(service.summary()) }, { "replicas", std::move(replicas) } };
}

auto plainReport(const PlainService& service) -> json::object
{
    json::array replicas;
    for (const auto& backend : service.backends()) {
        auto report = backendReport(backend.server);
        report["in_flight"] = backend.inFlight;
        report["consecutive_failures"] = backend.consecutiveFailures;
        replicas.push_back(std::move(report));
    }
    return { { "name", service.name() }, { "type", "plain" }, { "replicas", std::move(replicas) } };
}

}

auto statusReport(const EntryContext& context, const ServiceTable& services, const ClusterNode& node) -> json::object
{
    json::array members;
    for (const auto& member : node.members())
        members.push_back(memberReport(member));
    json::array reports;
    for (const auto& service : services.modelServices())
        reports.push_back(modelReport(*service));
    for (const auto& service : services.plainServices())
        reports.push_back(plainReport(*service));
    const auto index = services.configurationIndex();
    return {
        { "instance", context.settings.instance },
        { "availability_zone", context.settings.availabilityZone },
        { "configuration_version", index ? index->configuration().version : 0 },
        { "draining", context.isDraining.load() },
        { "open_requests", context.openRequests.load() },
        { "members", std::move(members) },
        { "services", std::move(reports) },
    };
}

auto eventPage(const EventLog& log, std::uint64_t after) -> json::object
{
    json::array events;
    for (const auto& event : log.after(after, eventsPerPage)) {
        events.push_back(toJson(event));
        after = event.sequence;
    }
    return { { "events", std::move(events) }, { "last", after } };
}

}

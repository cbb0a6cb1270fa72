#include "ServiceTable.h"

#include <algorithm>
#include <iterator>

namespace jayhold {

namespace {

/// After this time the other instances know this one.
constexpr Duration settlingTime = std::chrono::seconds(5);

}

ServiceTable::ServiceTable(EntryContext& context, AtMostOnceRecords& records, EngineMonitor::ReclaimCheck shouldReclaimFor)
    : m_context(context)
    , m_records(records)
    , m_shouldReclaimFor(std::move(shouldReclaimFor))
    , m_pauses { .random = { context.settings.seed } }
{
}

auto ServiceTable::updateConfiguration(std::shared_ptr<const Configuration> configuration) -> void
{
    auto index = std::make_shared<const ConfigurationIndex>(std::move(configuration), m_context.settings.operatorKeysSha256);
    const std::lock_guard guard(m_lock);
    m_index = index;
    for (const auto& service : index->configuration().services) {
        if (service.type == ServiceType::Model)
            addModelLocked(*index, service);
        else
            addPlainLocked(service);
    }
    removeMissingLocked(*index);
    applyBackendsLocked();
}

auto ServiceTable::addModelLocked(const ConfigurationIndex& index, const Service& service) -> void
{
    if (const auto known = m_modelServices.find(service.name); known != m_modelServices.end()) {
        known->second.service->updateConfiguration(index, service);
        return;
    }
    Model model { std::make_shared<ModelService>(m_context, index, service), nullptr };
    if (m_context.backendProtocol.load)
        model.monitor = std::make_shared<EngineMonitor>(m_context, model.service, m_shouldReclaimFor);
    model.service->updateInstanceCount(m_instanceCount);
    if (const auto blocked = m_blockedParts.find(service.name); blocked != m_blockedParts.end())
        model.service->handleEvent(BlockedPartsListed { blocked->second });
    if (m_drain)
        model.service->handleEvent(*m_drain);
    model.service->start();
    m_modelServices.emplace(service.name, std::move(model));
}

auto ServiceTable::addPlainLocked(const Service& service) -> void
{
    const auto known = m_plainServices.find(service.name);
    if (known != m_plainServices.end()) {
        known->second->updateConfiguration(service);
        return;
    }
    const auto added = std::make_shared<PlainService>(m_context, service, m_records, m_instanceCount);
    if (const auto blocked = m_blockedParts.find(service.name); blocked != m_blockedParts.end())
        added->updateBlockedCalls(blocked->second);
    m_plainServices.emplace(service.name, added);
}

auto ServiceTable::removeMissingLocked(const ConfigurationIndex& index) -> void
{
    std::erase_if(m_modelServices, [&](const auto& entry) {
        const auto* service = index.service(entry.first);
        if (service && service->type == ServiceType::Model)
            return false;
        // Requests in progress hold a reference to the service until they end.
        if (entry.second.monitor)
            entry.second.monitor->stop();
        entry.second.service->retire();
        m_retiredServices.push_back(entry.second.service);
        return true;
    });
    std::erase_if(m_plainServices, [&](const auto& entry) {
        const auto* service = index.service(entry.first);
        return !service || service->type != ServiceType::Plain;
    });
}

auto ServiceTable::updateBackends(std::vector<BackendServer> backends) -> void
{
    const std::lock_guard guard(m_lock);
    m_backends = std::move(backends);
    applyBackendsLocked();
}

auto ServiceTable::applyBackendsLocked() -> void
{
    updatePausesLocked();
    for (const auto& [name, model] : m_modelServices) {
        model.service->updateBackends(m_backends, m_pauses);
        if (model.monitor)
            model.monitor->refresh();
    }
    std::erase_if(m_retiredServices, [](const auto& service) { return service.expired(); });
    for (const auto& retired : m_retiredServices) {
        if (const auto service = retired.lock())
            service->updateBackends(m_backends);
    }
    for (const auto& [name, plain] : m_plainServices)
        plain->updateBackends(m_backends, m_pauses);
    if (!m_limits.observations.empty())
        applyLimitsLocked();
}

auto ServiceTable::updateInstanceCount(std::uint32_t instanceCount) -> void
{
    const std::lock_guard guard(m_lock);
    m_instanceCount = instanceCount;
    for (const auto& [name, model] : m_modelServices)
        model.service->updateInstanceCount(instanceCount);
    for (const auto& [name, plain] : m_plainServices)
        plain->updateInstanceCount(instanceCount);
}

auto ServiceTable::usage() const -> std::vector<BackendUsage>
{
    std::vector<BackendUsage> usages;
    for (const auto& service : modelServices()) {
        auto own = service->usage();
        std::ranges::move(own, std::back_inserter(usages));
    }
    return usages;
}

auto ServiceTable::updatePeerUsage(std::span<const BackendUsage> usages) -> void
{
    for (const auto& service : modelServices())
        service->updatePeerUsage(usages);
}

auto ServiceTable::handleCrashSignature(std::uint64_t signature) -> void
{
    for (const auto& service : modelServices())
        service->handleEvent(CrashSignatureReported { signature });
}

auto ServiceTable::handleCrashSuspect(const CrashSuspect& suspect) -> void
{
    for (const auto& service : modelServices())
        service->handleCrashSuspect(suspect);
}

auto ServiceTable::handlePromptReport(const PromptReport& report) -> void
{
    if (const auto service = modelService(report.service))
        service->handlePromptReport(report);
    else if (const auto plain = plainService(report.service))
        plain->handleCrashReport(report);
}

auto ServiceTable::allowTrial(const std::string& service, std::uint64_t part) -> void
{
    if (const auto model = modelService(service))
        model->handleEvent(PartTrialAllowed { part });
    else if (const auto plain = plainService(service))
        plain->allowTrial(part);
}

auto ServiceTable::updateBlockedParts(const std::string& service, std::vector<ListedPart> parts) -> void
{
    const std::lock_guard guard(m_lock);
    if (const auto found = m_modelServices.find(service); found != m_modelServices.end())
        found->second.service->handleEvent(BlockedPartsListed { parts });
    if (const auto found = m_plainServices.find(service); found != m_plainServices.end())
        found->second->updateBlockedCalls(parts);
    m_blockedParts[service] = std::move(parts);
}

auto ServiceTable::handleNotice(const BackendServer& server, TimePoint sentAt, const BackendNotice& notice) -> std::optional<BackendServer>
{
    // Responses to control calls may name no limit although there is one.
    const auto tellsLimit = notice.origin == ResponseOrigin::Call;
    if (!tellsLimit && !notice.isLeaving && !notice.retryDelay)
        return std::nullopt;
    const std::lock_guard guard(m_lock);
    const auto isOwn = notice.origin != ResponseOrigin::Unidentified && (notice.responder.empty() || notice.responder == server.id);
    if (notice.retryDelay && isOwn)
        recordPauseLocked(server, *notice.retryDelay);
    auto responder = responderLocked(server, notice);
    if (!responder)
        return std::nullopt;
    if (tellsLimit)
        recordLimitLocked(*responder, sentAt, notice.callsPerSecond);
    // A response without the request's id counts here: it came on a connection to the server's address, from the server or
    // from another program in its place.
    if (!notice.isLeaving)
        return std::nullopt;
    markLeavingLocked(*responder);
    return responder;
}

auto ServiceTable::responderLocked(const BackendServer& called, const BackendNotice& notice) const -> std::optional<BackendServer>
{
    if (notice.responder.empty() || notice.responder == called.id)
        return called;
    const auto known = std::ranges::find_if(m_backends, [&](const BackendServer& backend) { return backend.id == notice.responder && backend.endpoint == called.endpoint; });
    return known == m_backends.end() ? std::nullopt : std::optional(*known);
}

auto ServiceTable::markLeavingLocked(const BackendServer& server) -> void
{
    const auto known = std::ranges::find(m_backends, server.id, &BackendServer::id);
    if (known == m_backends.end() || known->incarnation != server.incarnation || known->endpoint != server.endpoint || known->state != ReplicaState::Live)
        return;
    known->state = ReplicaState::Leaving;
    applyBackendsLocked();
}

auto ServiceTable::recordLimitLocked(const BackendServer& server, TimePoint sentAt, std::optional<double> perSecond) -> void
{
    const auto now = monotonicNow();
    const auto hasForgotten = forgetOldLimits(m_limits, now);
    const auto hasChanged = jayhold::recordLimit(m_limits, { server.id, server.incarnation, perSecond, sentAt, now });
    if (hasForgotten || hasChanged)
        applyLimitsLocked();
    if (hasChanged)
        m_context.log.record(LogLevel::Info, perSecond ? "backend_limit_named" : "backend_limit_lifted", { { "backend", server.id }, { "per_second", perSecond.value_or(0) } });
}

auto ServiceTable::limitReports() const -> std::vector<LimitReport>
{
    const std::lock_guard guard(m_lock);
    return reportableLimits(m_limits, monotonicNow());
}

auto ServiceTable::handleLimitReports(std::span<const LimitReport> reports) -> void
{
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    auto hasChanged = forgetOldLimits(m_limits, now);
    for (const auto& report : reports) {
        const auto observedAt = now - report.age;
        if (!jayhold::recordLimit(m_limits, { report.backend, report.incarnation, report.perSecond, observedAt, observedAt, false }))
            continue;
        hasChanged = true;
        m_context.log.record(LogLevel::Info, "backend_limit_heard", { { "backend", report.backend }, { "limited", report.perSecond.has_value() }, { "per_second", report.perSecond.value_or(0) } });
    }
    if (hasChanged)
        applyLimitsLocked();
}

auto ServiceTable::updateInstances(std::vector<std::string> instances) -> void
{
    const std::lock_guard guard(m_lock);
    if (instances == m_instances)
        return;
    m_instances = std::move(instances);
    m_instancesKnownSince = m_instancesKnownSince.value_or(monotonicNow());
    if (!m_limits.observations.empty())
        applyLimitsLocked();
}

auto ServiceTable::applyLimitsLocked() -> void
{
    CallRates rates;
    const auto isSettled = m_instancesKnownSince && monotonicNow() - *m_instancesKnownSince >= settlingTime;
    for (const auto& [backend, observation] : m_limits.observations) {
        if (observation.perSecond)
            rates[backend] = { observation.incarnation, divideLimit(*observation.perSecond, backend, m_context.settings.instance, m_instances, isSettled) };
    }
    for (const auto& [name, model] : m_modelServices)
        model.service->updateRates(rates);
    for (const auto& [name, plain] : m_plainServices)
        plain->updateRates(rates);
}

auto ServiceTable::startDraining(const DrainStarted& drain) -> void
{
    const std::lock_guard guard(m_lock);
    m_drain = drain;
    for (const auto& [name, model] : m_modelServices)
        model.service->handleEvent(drain);
    for (const auto& retired : m_retiredServices) {
        if (const auto service = retired.lock())
            service->handleEvent(drain);
    }
}

auto ServiceTable::stop() -> void
{
    const std::lock_guard guard(m_lock);
    for (const auto& [name, model] : m_modelServices) {
        if (model.monitor)
            model.monitor->stop();
        model.service->stop();
    }
}

auto ServiceTable::configurationIndex() const -> std::shared_ptr<const ConfigurationIndex>
{
    const std::lock_guard guard(m_lock);
    return m_index;
}

auto ServiceTable::modelService(std::string_view name) const -> std::shared_ptr<ModelService>
{
    const std::lock_guard guard(m_lock);
    const auto found = m_modelServices.find(name);
    return found == m_modelServices.end() ? nullptr : found->second.service;
}

auto ServiceTable::plainService(std::string_view name) const -> std::shared_ptr<PlainService>
{
    const std::lock_guard guard(m_lock);
    const auto found = m_plainServices.find(name);
    return found == m_plainServices.end() ? nullptr : found->second;
}

auto ServiceTable::addSamples(std::vector<Metrics::Sample>& samples) const -> void
{
    struct Value {
        std::string_view name;
        std::string_view help;
        std::function<double(const ShardSummary&)> read;
        bool isCounter = false;
    };
    const Value values[] = {
        { "jayhold_queued", "Requests that wait for an engine.", [](const ShardSummary& summary) { return static_cast<double>(summary.queued); } },
        { "jayhold_prefilling", "Requests in their prefill.", [](const ShardSummary& summary) { return static_cast<double>(summary.prefilling); } },
        { "jayhold_decoding", "Requests on a decode engine.", [](const ShardSummary& summary) { return static_cast<double>(summary.decoding); } },
        { "jayhold_memory_pieces_believed_free", "Memory pieces of the live decode engines that no instance is known to use.", [](const ShardSummary& summary) { return static_cast<double>(summary.freeMemoryBlocks); } },
        { "jayhold_retries_left", "Retries that the budget allows now.", [](const ShardSummary& summary) { return summary.remainingRetries; } },
        { "jayhold_retries_total", "Attempts after the first.", [](const ShardSummary& summary) { return static_cast<double>(summary.retries); }, true },
        { "jayhold_prefill_tokens_total", "Prompt tokens sent to be read.", [](const ShardSummary& summary) { return static_cast<double>(summary.prefillTokens); }, true },
        { "jayhold_prefill_tokens_wasted_total", "Prompt tokens read for nothing.", [](const ShardSummary& summary) { return static_cast<double>(summary.wastedPrefillTokens); }, true },
    };
    std::vector<std::pair<std::string, ShardSummary>> summaries;
    for (const auto& service : modelServices())
        summaries.emplace_back(service->name(), service->summary());
    for (const auto& value : values) {
        for (const auto& [service, summary] : summaries)
            samples.push_back({ value.name, value.help, value.read(summary), value.isCounter, "service", service });
    }
    for (const auto& service : plainServices())
        samples.push_back({ "jayhold_plain_retries_left", "Retries of plain calls that the budget allows now.", service->retryBudget().remaining(), false, "service", service->name() });
    addSpeedSamples(samples);
    const std::lock_guard guard(m_lock);
    addPauseSamplesLocked(samples);
    for (const auto& [backend, observation] : m_limits.observations) {
        if (observation.perSecond)
            samples.push_back({ "jayhold_backend_limit", "Calls a second that a backend server takes from all instances together.", *observation.perSecond, false, "backend", backend });
    }
}

auto ServiceTable::addRetrySamples(std::vector<Metrics::Sample>& samples) const -> void
{
    struct Value {
        std::string_view name;
        std::string_view help;
        std::function<double(const RetryBudget&)> read;
        bool isCounter = false;
    };
    const Value values[] = {
        { "jayhold_retry_capacity", "Retries that the budget can hold.", [](const RetryBudget& budget) { return budget.capacity(); } },
        { "jayhold_retry_requests_total", "Requests that the retry budget has counted.", [](const RetryBudget& budget) { return static_cast<double>(budget.totals().requests); }, true },
        { "jayhold_retries_budgeted_total", "Retries taken from the budget.", [](const RetryBudget& budget) { return static_cast<double>(budget.totals().consumed); }, true },
        { "jayhold_retries_denied_total", "Retries that the budget denied.", [](const RetryBudget& budget) { return static_cast<double>(budget.totals().denied); }, true },
    };
    std::vector<std::pair<std::string, RetryBudget>> budgets;
    for (const auto& service : modelServices())
        budgets.emplace_back(service->name(), service->retryBudget());
    for (const auto& service : plainServices())
        budgets.emplace_back(service->name(), service->retryBudget());
    for (const auto& value : values) {
        for (const auto& [service, budget] : budgets)
            samples.push_back({ value.name, value.help, value.read(budget), value.isCounter, "service", service });
    }
}

auto ServiceTable::modelServices() const -> std::vector<std::shared_ptr<ModelService>>
{
    std::vector<std::shared_ptr<ModelService>> list;
    const std::lock_guard guard(m_lock);
    for (const auto& [name, model] : m_modelServices)
        list.push_back(model.service);
    return list;
}

auto ServiceTable::plainServices() const -> std::vector<std::shared_ptr<PlainService>>
{
    std::vector<std::shared_ptr<PlainService>> list;
    const std::lock_guard guard(m_lock);
    for (const auto& [name, plain] : m_plainServices)
        list.push_back(plain);
    return list;
}

}

#include "CustomerChecks.h"

#include "ReplicaControl.h"

#include <algorithm>
#include <map>

namespace jayhold::soak {

namespace {

enum class KeyState : std::uint8_t {
    Known,
    Unknown,
    /// Some instances may know the key and others not.
    Changing,
};

auto keyState(const CallRecord& call, TimePoint keysChangedAt, std::span<const FaultPeriod> faults, const FleetSize& size) -> KeyState
{
    const auto& customer = call.identity.customer;
    if (!hasOwnKey(call.identity))
        return KeyState::Unknown;
    if (customer != withdrawnCustomer.name && customer != addedCustomer.name)
        return KeyState::Known;
    const auto isBefore = call.endedAt < keysChangedAt;
    const auto isAfter = call.sentAt - maxKeyDelay >= keysChangedAt && isCalm(call, faults, size);
    if (!isBefore && !isAfter)
        return KeyState::Changing;
    return (customer == addedCustomer.name) == isAfter ? KeyState::Known : KeyState::Unknown;
}

/// @return whether the status is right for a request that needs a key and has none. Other refusals than 401 come from
/// instances that start or shut down.
auto isRefusalOfUnknownKey(const CallRecord& call, std::span<const FaultPeriod> faults, const FleetSize& size) -> bool
{
    constexpr unsigned unavailable = 503;
    return call.status == 0 || call.status == statusUnknownKey || (call.status == unavailable && !isCalm(call, faults, size));
}

auto isBelowQuota(const CallRecord& call) -> bool
{
    return call.identity.customer == steadyCustomer.name || call.identity.customer == addedCustomer.name;
}

/// A time at which a request began to run, and what it counts.
struct QuotaUse {
    TimePoint at {};
    double amount = 0;
};

/// @return the most that was used in a window of the quota.
auto mostInWindow(std::vector<QuotaUse> uses) -> std::pair<double, TimePoint>
{
    std::ranges::sort(uses, {}, &QuotaUse::at);
    std::pair<double, TimePoint> most;
    double sum = 0;
    for (auto first = uses.begin(); const auto& last : uses) {
        sum += last.amount;
        for (; first->at <= last.at - quotaWindow; ++first)
            sum -= first->amount;
        most = std::max(most, { sum, last.at });
    }
    return most;
}

auto boundOf(const SoakCustomer& customer) -> double
{
    const auto quota = customer.ratePerS * std::chrono::duration<double>(quotaWindow).count() + customer.burst;
    return quota * (1 + quotaOver) + (customer.countsTokens ? quotaSlackTokens : 0);
}

}

auto admittedCalls(std::span<const CallRecord> calls) -> std::vector<CallRecord>
{
    std::vector<CallRecord> admitted;
    for (const auto& call : calls) {
        const auto isRefusedForKey = call.identity.credentials != Credentials::None && call.status == statusUnknownKey;
        const auto isOverQuota = call.identity.customer == burstyCustomer.name && call.status == statusOverQuota;
        if (!isRefusedForKey && !isOverQuota)
            admitted.push_back(call);
    }
    return admitted;
}

auto checkKeys(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const BackendRun> keyArrivals, TimePoint keysChangedAt, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>
{
    std::vector<Violation> violations;
    // One line, so that the report has room for other violations.
    if (!keyArrivals.empty()) {
        const auto& first = *std::ranges::min_element(keyArrivals, {}, &BackendRun::at);
        violations.push_back({ "no backend server gets a key", first.request, first.backend + ", the first of " + std::to_string(keyArrivals.size()), first.at, first.at });
    }
    std::multimap<std::string_view, const BackendRun*> runsByRequest;
    for (const auto& run : runs) {
        // The servers that send without end record no names.
        if (!run.backend.starts_with(endlessPrefix))
            runsByRequest.emplace(run.request, &run);
    }
    for (const auto& call : calls) {
        const auto state = keyState(call, keysChangedAt, faults, size);
        const auto needsKey = !call.identity.isPublic;
        const auto [firstRun, lastRun] = runsByRequest.equal_range(call.request);
        const auto detail = "customer " + call.identity.customer + ", status " + std::to_string(call.status) + " at edge-" + std::to_string(call.entry);
        if (needsKey && state == KeyState::Unknown && firstRun != lastRun)
            violations.push_back({ "a request without a known key runs nowhere", call.request, detail });
        if (needsKey && state == KeyState::Unknown && !isRefusalOfUnknownKey(call, faults, size))
            violations.push_back({ "a request without a known key is refused for good", call.request, detail });
        if ((!needsKey || state == KeyState::Known) && call.status == statusUnknownKey)
            violations.push_back({ "a request with a known key is not refused for it", call.request, detail });
        const auto expected = forwardedCustomer(call.identity);
        const auto hasOtherName = [&](const auto& run) { return run.second->customer != expected; };
        if (const auto other = std::find_if(firstRun, lastRun, hasOtherName); other != lastRun)
            violations.push_back({ "a backend server gets the name of the customer whose key the caller sent", call.request, "'" + other->second->customer + "' instead of '" + expected + "' at " + other->second->backend });
    }
    return violations;
}

auto checkKeysInLogs(std::span<const std::string> lines) -> std::vector<Violation>
{
    const auto found = std::ranges::find_if(lines, [](const std::string& line) { return line.find(keyMark) != std::string::npos; });
    if (found == lines.end())
        return {};
    return { { "no log line contains a key", "", *found } };
}

auto checkQuotas(std::span<const CallRecord> calls, std::span<const BackendRun> runs) -> std::vector<Violation>
{
    std::map<std::string_view, TimePoint> firstRuns;
    for (const auto& run : runs) {
        const auto first = firstRuns.emplace(run.request, run.at).first;
        first->second = std::min(first->second, run.at);
    }
    std::vector<Violation> violations;
    for (const auto& customer : soakCustomers) {
        if (customer.ratePerS <= 0)
            continue;
        std::vector<QuotaUse> uses;
        for (const auto& call : calls) {
            const auto run = firstRuns.find(call.request);
            if (run != firstRuns.end() && forwardedCustomer(call.identity) == customer.name)
                uses.push_back({ run->second, customer.amount });
        }
        const auto [most, until] = mostInWindow(std::move(uses));
        if (most > boundOf(customer))
            violations.push_back({ "a customer's requests stay within the bound of its quota", "", std::string(customer.name) + ": " + std::to_string(most) + " in 8 s, at most " + std::to_string(boundOf(customer)), until - quotaWindow, until });
    }
    return violations;
}

auto checkBelowQuota(std::span<const CallRecord> calls, const CustomerTimes& times, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>
{
    constexpr double minServedRatio = 0.95;
    std::vector<Violation> violations;
    double sent = 0;
    double served = 0;
    for (const auto& call : calls) {
        if (!isBelowQuota(call) || keyState(call, times.keysChangedAt, faults, size) != KeyState::Known)
            continue;
        const auto isStarting = call.sentAt < times.startedAt + calmTime;
        if (call.status == statusOverQuota && !isStarting && isCalm(call, faults, size))
            violations.push_back({ "a customer below its quota is not refused for it", call.request, call.identity.customer + " at edge-" + std::to_string(call.entry) });
        if (call.sentAt < times.burst.from || call.sentAt > times.burst.until || call.wasReset || !call.resumes.empty() || hasCrashingPart(call) || isCrashingCall(call))
            continue;
        sent += 1;
        served += call.status / 100 == 2;
    }
    if (sent == 0 || served < minServedRatio * sent)
        violations.push_back({ "customers below their quotas are served beside one beyond its quota", "", std::to_string(served) + " of " + std::to_string(sent) + " requests served", times.burst.from, times.burst.until });
    return violations;
}

}

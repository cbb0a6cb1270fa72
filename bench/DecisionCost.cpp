#include <jayhold/Decision.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <malloc.h>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

/// Measures the duration of decide() and the memory of a shard under a steady load for several numbers
/// of replicas. Engines are simulated in virtual time: each started step completes after a random time.

namespace {

using namespace jayhold;
using namespace std::chrono_literals;

constexpr std::uint32_t decodeSlots = 20;
constexpr std::uint32_t prefillSlots = 4;
/// Every fourth replica is a prefill replica.
constexpr std::uint32_t replicasPerPrefill = 4;
constexpr std::uint32_t zones = 3;
constexpr std::uint32_t tokensPerReport = 16;
constexpr Duration tokenGap = 30ms;
constexpr Duration reportInterval = 250ms;

struct Options {
    std::size_t events = 400'000;
    double load = 0.9;
    std::uint32_t sharing = 1;
    std::vector<std::uint32_t> replicas { 9, 14, 100, 670, 2'000, 12'000 };
};

struct ScheduledEvent {
    TimePoint time;
    std::uint64_t order;
    DecisionEvent event;

    auto operator<(const ScheduledEvent& other) const -> bool { return std::tie(time, order) > std::tie(other.time, other.order); }
};

struct Measurement {
    double p50;
    double p99;
    double p999;
    double largest;
    double megabytes;
    std::uint64_t refused;
    std::uint64_t finished;
};

class SteadyLoad {
public:
    SteadyLoad(const Options& options, std::uint32_t replicas)
        : m_options(options)
        , m_shard(makeShard(settings(options)))
        , m_random(1)
    {
        addReplicas(replicas);
        const auto prefills = replicas / replicasPerPrefill;
        const auto decodes = static_cast<double>(replicas - prefills);
        // Responses have 200 tokens on average and occupy a slot for 6 s.
        const auto perSecond = decodes * decodeSlots / 6.0 * options.load;
        m_arrivalGap = Duration(static_cast<Duration::rep>(1e6 / perSecond));
        schedule(m_now, RequestArrived {});
    }

    /// @return the duration of each decision in nanoseconds, without those before the load is steady.
    auto run() -> std::vector<std::uint32_t>
    {
        std::vector<std::uint32_t> times;
        times.reserve(m_options.events);
        const auto steady = m_now + 8s;
        while (times.size() < m_options.events) {
            auto next = m_scheduled.top();
            m_scheduled.pop();
            m_now = next.time;
            prepare(next.event);
            const auto time = decideTimed(next.event);
            if (m_now >= steady)
                times.push_back(time);
            handleActions();
        }
        return times;
    }

    auto summary() const -> ShardSummary { return summarize(m_shard); }
    auto dropShard() -> void { m_shard.state.reset(); }

private:
    static auto settings(const Options& options) -> ShardSettings
    {
        ShardSettings settings;
        settings.instanceCount = options.sharing;
        for (const auto latencyClass : { LatencyClass::Interactive, LatencyClass::Standard, LatencyClass::Batch }) {
            RequestKind kind;
            kind.latencyClass = latencyClass;
            kind.firstToken = latencyClass == LatencyClass::Batch ? 30s : 2s;
            settings.kinds.push_back(kind);
        }
        settings.customerWeights.assign(customers, 1.0);
        settings.customerQueueLimits.assign(customers, 10'000);
        return settings;
    }

    auto addReplicas(std::uint32_t count) -> void
    {
        for (std::uint32_t id = 0; id < count; ++id) {
            const auto isPrefill = id % replicasPerPrefill == 0;
            const ReplicaChanged change {
                .replica = ReplicaId { id },
                .role = isPrefill ? PoolRole::Prefill : PoolRole::Decode,
                .zone = ZoneId { static_cast<std::uint16_t>(id / replicasPerPrefill % zones) },
                .state = ReplicaState::Live,
                .slots = isPrefill ? prefillSlots : decodeSlots,
                .memoryBlocks = 400,
                .memoryBlockTokens = 2'000,
                .linkBytesPerSecond = 50'000'000'000,
            };
            m_actions.clear();
            decide(m_shard, m_now, change, m_actions);
            m_running.push_back(0);
            schedule(m_now + reportInterval * (id % 100) / 100, ReplicaLoad { .replica = ReplicaId { id }, .sequence = 0, .asOf = m_now, .running = 0, .waiting = 0, .freeMemoryBlocks = 0, .held = {} });
        }
    }

    auto schedule(TimePoint time, DecisionEvent event) -> void { m_scheduled.push({ time, ++m_order, std::move(event) }); }

    auto draw(std::uint32_t low, std::uint32_t high) -> std::uint32_t { return std::uniform_int_distribution(low, high)(m_random); }

    /// Fills in the fields that depend on the current time, and schedules the follow-up events that do
    /// not depend on the decision.
    auto prepare(DecisionEvent& event) -> void
    {
        if (auto* arrival = std::get_if<RequestArrived>(&event))
            prepareArrival(*arrival);
        else if (auto* load = std::get_if<ReplicaLoad>(&event))
            prepareLoad(*load);
        else if (const auto* finished = std::get_if<DecodeFinished>(&event))
            --m_running.at(m_decodeOf.at(static_cast<std::size_t>(finished->request)));
    }

    auto prepareArrival(RequestArrived& arrival) -> void
    {
        arrival.request = RequestId { ++m_lastRequest };
        arrival.kind = KindId { static_cast<std::uint16_t>(draw(0, 2)) };
        arrival.customer = CustomerId { draw(0, customers - 1) };
        arrival.promptTokens = draw(100, 8'000);
        arrival.maxTokens = 1'000;
        arrival.deadline = m_now + 60s;
        arrival.signature = m_lastRequest;
        const std::uint64_t prefix = draw(0, 6'000);
        for (std::uint64_t block = 0; block < arrival.promptTokens / 256; ++block)
            arrival.prefixBlocks.push_back(prefix * 1'000 + block);
        m_decodeOf.resize(m_lastRequest + 1);
        schedule(m_now + m_arrivalGap, RequestArrived {});
    }

    auto prepareLoad(ReplicaLoad& load) -> void
    {
        const auto id = static_cast<std::size_t>(load.replica);
        load.asOf = m_now;
        load.running = m_running.at(id);
        load.freeMemoryBlocks = 400 - std::min(400U, load.running * 3);
        schedule(m_now + reportInterval, ReplicaLoad { .replica = load.replica, .sequence = load.sequence + 1, .asOf = m_now, .running = 0, .waiting = 0, .freeMemoryBlocks = 0, .held = {} });
        ++load.sequence;
    }

    auto decideTimed(const DecisionEvent& event) -> std::uint32_t
    {
        m_actions.clear();
        const auto start = std::chrono::steady_clock::now();
        decide(m_shard, m_now, event, m_actions);
        const auto time = std::chrono::steady_clock::now() - start;
        return static_cast<std::uint32_t>(std::chrono::nanoseconds(time).count());
    }

    auto handleActions() -> void
    {
        for (const auto& action : m_actions) {
            if (const auto* prefill = std::get_if<StartPrefill>(&action)) {
                const auto done = m_now + Duration(draw(40'000, 250'000));
                schedule(done, PrefillDone { prefill->request, prefill->attempt, done + 800ms, 0 });
            } else if (const auto* decode = std::get_if<StartDecode>(&action)) {
                scheduleDecode(*decode);
            } else if (const auto* wake = std::get_if<WakeAt>(&action)) {
                schedule(wake->time, Tick {});
            }
        }
    }

    auto scheduleDecode(const StartDecode& start) -> void
    {
        const auto replica = static_cast<std::size_t>(start.decode);
        ++m_running.at(replica);
        m_decodeOf.at(static_cast<std::size_t>(start.request)) = replica;
        auto time = m_now + Duration(draw(5'000, 30'000));
        schedule(time, DecodeStarted { start.request, start.attempt });
        const auto tokens = draw(20, 380);
        for (auto sent = tokensPerReport; sent < tokens; sent += tokensPerReport)
            schedule(time + tokenGap * sent, TokensEmitted { start.request, start.attempt, sent });
        schedule(time + tokenGap * tokens, DecodeFinished { start.request, start.attempt, tokens });
    }

    static constexpr std::uint32_t customers = 30;

    Options m_options;
    Shard m_shard;
    std::mt19937 m_random;
    TimePoint m_now { 1'000s };
    Duration m_arrivalGap {};
    std::priority_queue<ScheduledEvent> m_scheduled;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastRequest = 0;
    std::vector<DecisionAction> m_actions;
    std::vector<std::uint32_t> m_running;
    std::vector<std::size_t> m_decodeOf;
};

auto quantileMicroseconds(const std::vector<std::uint32_t>& sorted, double part) -> double
{
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))] / 1e3;
}

auto heapBytes() -> std::size_t
{
    return mallinfo2().uordblks;
}

auto measure(const Options& options, std::uint32_t replicas) -> Measurement
{
    SteadyLoad load(options, replicas);
    auto times = load.run();
    std::sort(times.begin(), times.end());
    const auto summary = load.summary();
    const auto before = heapBytes();
    // The memory of the state is the heap memory that is freed with the shard.
    load.dropShard();
    const auto state = static_cast<double>(before - heapBytes());
    return { quantileMicroseconds(times, 0.5), quantileMicroseconds(times, 0.99), quantileMicroseconds(times, 0.999), quantileMicroseconds(times, 1), state / 1e6, summary.refused, summary.finished };
}

auto parse(int argc, char** argv, Options& options) -> bool
{
    const option names[] = {
        { "events", required_argument, nullptr, 'e' },
        { "load", required_argument, nullptr, 'l' },
        { "sharing", required_argument, nullptr, 's' },
        { "replicas", required_argument, nullptr, 'r' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'v' },
        {},
    };
    while (true) {
        const auto optionCode = getopt_long(argc, argv, "", static_cast<const option*>(names), nullptr);
        switch (optionCode) {
        case -1:
            return optind == argc;
        case 'e':
            options.events = std::max(1UL, std::strtoul(optarg, nullptr, 10));
            break;
        case 'l':
            options.load = std::strtod(optarg, nullptr);
            break;
        case 's':
            options.sharing = static_cast<std::uint32_t>(std::max(1UL, std::strtoul(optarg, nullptr, 10)));
            break;
        case 'r':
            options.replicas = { static_cast<std::uint32_t>(std::max(2UL, std::strtoul(optarg, nullptr, 10))) };
            break;
        case 'h':
            std::puts("usage: jayhold-decision-cost [--events N] [--load PART] [--sharing INSTANCES] [--replicas N]");
            std::exit(0);
        case 'v':
            std::puts("jayhold-decision-cost " JAYHOLD_VERSION);
            std::exit(0);
        default:
            return false;
        }
    }
}

}

auto main(int argc, char** argv) -> int
{
    Options options;
    if (!parse(argc, argv, options) || !(options.load > 0))
        return 2;
    std::printf("%9s %9s %9s %9s %9s %9s %10s %10s\n", "replicas", "p50_us", "p99_us", "p99.9_us", "max_us", "state_MB", "finished", "refused");
    for (const auto replicas : options.replicas) {
        const auto result = measure(options, replicas);
        std::printf("%9u %9.2f %9.2f %9.2f %9.1f %9.2f %10lu %10lu\n", replicas, result.p50, result.p99, result.p999, result.largest, result.megabytes, result.finished, result.refused);
        std::fflush(stdout);
    }
}

#include "LatencyHistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <mutex>

namespace jayhold {

namespace histogram = boost::histogram;

namespace {

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Storage = histogram::dense_storage<std::uint64_t>;

/// The buckets range from one microsecond, the resolution of the clock, to 100 seconds, with five buckets
/// for each power of ten.
constexpr double lowestSeconds = 1e-6;
constexpr double highestSeconds = 100;
constexpr unsigned bucketCount = 40;

}

struct LatencyHistogram::State {
    mutable std::mutex lock;
    histogram::histogram<std::tuple<Axis>, Storage> counts = histogram::make_histogram_with(Storage {}, Axis(bucketCount, lowestSeconds, highestSeconds));
    double sumSeconds = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_state(std::make_unique<State>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

auto LatencyHistogram::record(Duration duration) -> void
{
    const auto seconds = std::chrono::duration<double>(std::max(duration, Duration(1))).count();
    const std::lock_guard guard(m_state->lock);
    m_state->counts(seconds);
    m_state->sumSeconds += seconds;
}

auto LatencyHistogram::snapshot() const -> LatencySnapshot
{
    const std::lock_guard guard(m_state->lock);
    LatencySnapshot snapshot;
    for (auto&& cell : histogram::indexed(m_state->counts))
        snapshot.buckets.push_back({ cell.bin().upper(), *cell });
    for (auto&& cell : histogram::indexed(m_state->counts, histogram::coverage::all))
        snapshot.total += *cell;
    snapshot.sumSeconds = m_state->sumSeconds;
    return snapshot;
}

}

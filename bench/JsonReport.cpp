#include "JsonReport.h"

#include "JsonText.h"

#include <boost/json.hpp>

namespace jayhold::bench {

namespace {

namespace json = boost::json;

auto quantiles(std::vector<float>& values) -> json::object
{
    return { { "p50", quantile(values, 0.5) }, { "p95", quantile(values, 0.95) }, { "p99", quantile(values, 0.99) } };
}

auto kindJson(const std::string& name, KindMetrics& kind) -> json::object
{
    return {
        { "kind", name },
        { "offered", kind.offered },
        { "finished", kind.finished },
        { "good", kind.good },
        { "late_first_token", kind.lateFirstToken },
        { "slow_tokens", kind.slowTokens },
        { "first_token_ms", quantiles(kind.firstTokens) },
        { "token_gap_ms", quantiles(kind.gaps) },
    };
}

auto rowJson(Row& row) -> json::object
{
    auto& metrics = row.result.metrics;
    json::array kinds;
    for (std::size_t kind = 0; kind < metrics.kinds.size(); ++kind)
        kinds.push_back(kindJson(row.kindNames[kind], metrics.kinds[kind]));
    return {
        { "workload", row.workload },
        { "load", row.load },
        { "capacity_per_second", row.result.capacity },
        { "faults", row.faults },
        { "arm", row.arm },
        { "sharing", name(row.sharing) },
        { "seed", row.seed },
        { "seconds", row.seconds },
        { "offered", offered(metrics) },
        { "goodput_per_second", goodputRate(row) },
        { "goodput_share", goodputShare(row) },
        { "clairvoyant_per_second", boundRate(row) },
        { "prefill_tokens", metrics.prefillTokens },
        { "wasted_prefill_share", metrics.wastedShare() },
        { "refused", metrics.refused },
        { "retried", metrics.retried },
        { "caller_repeats", metrics.callerRepeats },
        { "sharing_messages", metrics.sharingMessages },
        { "prefill_refusals", metrics.prefillRefusals },
        { "decode_refusals", metrics.decodeRefusals },
        { "expired_results", metrics.expiredResults },
        { "held_pieces", metrics.heldMemoryBlocks },
        { "answered_twice", metrics.answeredTwice },
        { "unanswered", metrics.unanswered },
        { "misplaced_tokens", metrics.misplacedTokens },
        { "kinds", kinds },
    };
}

}

auto jsonReport(std::span<Row> rows, std::span<const BoundCheck> checks) -> std::string
{
    json::array cells;
    for (auto& row : rows)
        cells.push_back(rowJson(row));
    json::array bounds;
    for (const auto& check : checks)
        bounds.push_back(json::object { { "name", check.name }, { "value", check.value }, { "limit", check.limit }, { "pass", check.pass } });
    return prettyJson(json::object { { "cells", cells }, { "bounds", bounds } });
}

}

#include "results.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"

namespace zinniadoor::bench {

namespace {

Summary summaryOf(const std::string &name, const Scenario &scenario, const RunResult &run,
                  std::optional<std::size_t> requestClass)
{
    Summary summary;
    summary.name = name;
    std::vector<double> firstTokens;
    for (const RequestRecord &record : run.records) {
        if (record.at < scenario.warmUp)
            continue;
        if (requestClass && record.requestClass != *requestClass)
            continue;
        ++summary.offered;
        summary.good += record.outcome == RequestOutcome::Good ? 1 : 0;
        summary.goodTokens += record.outcome == RequestOutcome::Good ? record.tokens : 0;
        summary.late += record.outcome == RequestOutcome::Late ? 1 : 0;
        summary.refused += record.outcome == RequestOutcome::Refused ? 1 : 0;
        summary.failed += record.outcome == RequestOutcome::Failed ? 1 : 0;
        summary.open += record.outcome == RequestOutcome::Open ? 1 : 0;
        if (record.firstToken)
            firstTokens.push_back(absl::ToDoubleSeconds(*record.firstToken));
    }
    summary.firstTokenP50 = percentile(firstTokens, 0.5);
    summary.firstTokenP95 = percentile(firstTokens, 0.95);
    summary.firstTokenP99 = percentile(firstTokens, 0.99);
    return summary;
}

double shareOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double meanOf(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values)
        sum += value;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

} // namespace

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto rank
        = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    const auto index = static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

std::vector<Summary> summarise(const Scenario &scenario, const RunResult &run)
{
    std::vector<Summary> summaries { summaryOf("all", scenario, run, std::nullopt) };
    for (std::size_t i = 0; i < scenario.classes.size(); ++i)
        summaries.push_back(summaryOf(scenario.classes[i].name, scenario, run, i));
    return summaries;
}

std::string tableOf(const Scenario &scenario, const std::vector<RunResult> &runs)
{
    std::string table = "| variant | class | offered | good | good share | good tokens | late | "
                        "refused | failed | open "
                        "| first token p50 / p95 / p99 (ms) |\n| --- | --- | --- | --- | --- | "
                        "--- | --- | --- | --- | --- | --- |\n";
    for (const RunResult &run : runs) {
        for (const Summary &row : summarise(scenario, run)) {
            absl::StrAppendFormat(
                &table,
                "| %s | %s | %d | %d | %.3f | %d | %d | %d | %d | %d | %.0f / %.0f / %.0f |\n",
                run.variant, row.name, row.offered, row.good, shareOf(row.good, row.offered),
                row.goodTokens, row.late, row.refused, row.failed, row.open,
                row.firstTokenP50 * 1000, row.firstTokenP95 * 1000, row.firstTokenP99 * 1000);
        }
    }
    table += "\n| variant | role changes | retries per call, while failing | streams moved | peak "
             "to mean, mean / "
             "p95 | tokens on reclaimable | spend per 1,000 good |\n| --- | --- | --- | --- | --- "
             "| --- | --- |\n";
    for (const RunResult &run : runs) {
        const Summary all = summarise(scenario, run).front();
        const double perThousand = all.good == 0 ? 0 : run.spend * 1000 / double(all.good);
        absl::StrAppendFormat(&table, "| %s | %d | %.4f, %.4f | %d | %.2f / %.2f | %.3f | %.3f |\n",
                              run.variant, run.roleChanges, shareOf(run.retries, run.firstCalls),
                              shareOf(run.faultRetries, run.faultCalls), run.streamsMoved,
                              meanOf(run.peakToMean), percentile(run.peakToMean, 0.95),
                              shareOf(run.tokensOnReclaimable, run.tokens), perThousand);
    }
    return table;
}

std::string csvOf(const Scenario &scenario, const std::vector<RunResult> &runs)
{
    std::ostringstream out;
    out << "variant,class,offered,good,good_tokens,late,refused,failed,open,first_token_p50_s,"
           "first_token_p95_"
           "s,"
           "first_token_p99_s,role_changes,first_calls,retries,moves,peak_to_mean_mean,"
           "peak_to_mean_p95\n";
    for (const RunResult &run : runs) {
        for (const Summary &row : summarise(scenario, run)) {
            out << run.variant << ',' << row.name << ',' << row.offered << ',' << row.good << ','
                << row.late << ',' << row.refused << ',' << row.failed << ',' << row.open << ','
                << row.firstTokenP50 << ',' << row.firstTokenP95 << ',' << row.firstTokenP99 << ','
                << run.roleChanges << ',' << run.firstCalls << ',' << run.retries << ','
                << run.streamsMoved << ',' << meanOf(run.peakToMean) << ','
                << percentile(run.peakToMean, 0.95) << '\n';
        }
    }
    return out.str();
}

std::string jsonOf(const Scenario &scenario, const std::vector<RunResult> &runs)
{
    nlohmann::ordered_json json { { "scenario", scenario.name }, { "seed", scenario.seed } };
    for (const RunResult &run : runs) {
        nlohmann::ordered_json variant { { "variant", run.variant },
                                         { "role_changes", run.roleChanges },
                                         { "first_calls", run.firstCalls },
                                         { "retries", run.retries },
                                         { "fault_calls", run.faultCalls },
                                         { "fault_retries", run.faultRetries },
                                         { "streams_moved", run.streamsMoved },
                                         { "peak_to_mean_mean", meanOf(run.peakToMean) },
                                         { "peak_to_mean_p95", percentile(run.peakToMean, 0.95) },
                                         { "tokens", run.tokens },
                                         { "tokens_on_reclaimable", run.tokensOnReclaimable },
                                         { "spend", run.spend } };
        for (const Summary &row : summarise(scenario, run)) {
            variant["classes"].push_back({ { "class", row.name },
                                           { "offered", row.offered },
                                           { "good", row.good },
                                           { "good_tokens", row.goodTokens },
                                           { "late", row.late },
                                           { "refused", row.refused },
                                           { "failed", row.failed },
                                           { "open", row.open },
                                           { "first_token_p50_s", row.firstTokenP50 },
                                           { "first_token_p95_s", row.firstTokenP95 },
                                           { "first_token_p99_s", row.firstTokenP99 } });
        }
        json["variants"].push_back(std::move(variant));
    }
    return json.dump(2) + "\n";
}

} // namespace zinniadoor::bench

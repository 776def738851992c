#include "load/limits/limit_experiment.h"

#include "load/report/html_page.h"
#include "load/report/svg_chart.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

constexpr std::array<std::size_t, 4> kFleetSizes = {6, 30, 100, 295};
constexpr std::array<double, 4> kLimits = {0.5, 2, 10, 100};

/** Largest rate of calls of a scenario; a third of what one processor simulates in a second. */
constexpr double kMaxCallsPerSecond = 1500;

/** Instances from which a fleet has five failure domains, as the users' largest one. */
constexpr std::size_t kLargeFleet = 100;

/** Servers with a limit where something fails. */
constexpr std::size_t kServersWithFaults = 6;

constexpr absl::Duration kLength = absl::Seconds(40);
constexpr absl::Duration kFirstFaultAt = absl::Seconds(10);
constexpr absl::Duration kSecondFaultAt = absl::Seconds(22);

std::size_t serversOf(std::size_t instances)
{
    switch (instances) {
    case 6:
        return 15;
    case 30:
        return 30;
    case 100:
        return 50;
    default:
        return 112;
    }
}

LimitScenario scenarioOf(std::size_t instances, std::size_t servers, double limit)
{
    LimitScenario scenario;
    scenario.demand = "even";
    scenario.fault = "none";
    LimitTrialSetup &setup = scenario.setup;
    setup.fleet.instances = instances;
    setup.fleet.domains = instances >= kLargeFleet ? 5 : 3;
    setup.limitedServers = servers;
    setup.limit = limit;
    setup.length = kLength;
    // Twice what the limits allow, and where that is little, enough that a token is soon taken.
    const double allowed = limit * static_cast<double>(servers);
    setup.callsPerSecond = std::max(2 * allowed, allowed + 10);
    return scenario;
}

struct Fault
{
    const char *name;
    std::vector<LimitTrialEvent> events;
};

std::vector<Fault> faultsFor(double limit)
{
    using Kind = LimitTrialEvent::Kind;
    const absl::Duration first = kFirstFaultAt;
    const absl::Duration second = kSecondFaultAt;
    return {
        {"halved", {{Kind::ChangeLimit, first, {}, limit / 2}}},
        {"doubled", {{Kind::ChangeLimit, first, {}, limit * 2}}},
        {"ended and named again",
         {{Kind::EndLimit, first}, {Kind::ChangeLimit, second, {}, limit}}},
        {"issuer killed",
         {{Kind::KillIssuer, first, absl::Seconds(2)},
          {Kind::KillIssuer, second, absl::Seconds(1)}}},
        {"issuer frozen",
         {{Kind::PauseIssuer, first, absl::Seconds(3)},
          {Kind::PauseIssuer, second, absl::Seconds(1)}}},
        {"issuer cut off",
         {{Kind::CutIssuer, first, absl::Seconds(5)}, {Kind::CutIssuer, second, absl::Seconds(1)}}},
        {"two domains cut", {{Kind::CutDomains, first, absl::Seconds(12)}}},
    };
}

std::string number(double value)
{
    return absl::StrFormat("%.2f", value);
}

const std::vector<std::string> kColumns = {
    "instances", "servers",     "limit/s",    "demand",  "fault",     "calls/s",
    "used",      "fullest 4 s", "limit then", "of rule", "of aim",    "worth of central",
    "wait ms",   "p95 ms",      "B/s",        "max B/s", "messages/s"};

std::vector<std::string> rowOf(const LimitScenarioResult &entry)
{
    const LimitTrialSetup &setup = entry.scenario.setup;
    const LimitTrialResult &result = entry.result;
    const double ofCentral =
        result.centralWorth > 0 ? result.servedWorth / result.centralWorth : 0.0;
    return {absl::StrCat(setup.fleet.instances),
            absl::StrCat(setup.limitedServers),
            absl::StrCat(setup.limit),
            entry.scenario.demand,
            entry.scenario.fault,
            absl::StrFormat("%.0f", setup.callsPerSecond),
            number(result.usedShare),
            absl::StrFormat("%.0f", result.fullestWindow),
            absl::StrFormat("%.1f", result.limitInFullestWindow),
            number(result.worstOfRule),
            number(result.worstOfAim),
            number(ofCentral),
            absl::StrFormat("%.0f", result.meanWaitMs),
            absl::StrFormat("%.0f", result.p95WaitMs),
            absl::StrFormat("%.0f", result.bytesPerSecond),
            absl::StrFormat("%.0f", result.maxBytesPerSecond),
            absl::StrFormat("%.1f", result.messagesPerSecond)};
}

void addUsedChart(HtmlPage &page, const std::vector<LimitScenarioResult> &results,
                  const std::string &demand)
{
    ChartOptions options;
    options.title =
        absl::StrCat("Used share of the limits, a third of the servers, demand: ", demand);
    options.yLabel = "share";
    std::vector<ChartSeries> series;
    for (const double limit : kLimits) {
        ChartSeries line;
        line.name = absl::StrCat(limit, " a second");
        for (const std::size_t instances : kFleetSizes) {
            const auto found = std::find_if(results.begin(), results.end(), [&](const auto &entry) {
                const LimitScenario &scenario = entry.scenario;
                return scenario.part == "third" && scenario.fault == "none"
                    && scenario.demand == demand && scenario.setup.limit == limit
                    && scenario.setup.fleet.instances == instances;
            });
            line.values.push_back(found == results.end() ? 0.0 : found->result.usedShare);
        }
        series.push_back(line);
    }
    for (const std::size_t instances : kFleetSizes)
        options.categories.push_back(absl::StrCat(instances));
    page.addMarkup(barChart(options, series));
}

void addRuleChart(HtmlPage &page, const std::vector<LimitScenarioResult> &results)
{
    ChartOptions options;
    options.title = "Requests in the fullest window over what the rule allows, worst of all limits";
    options.yLabel = "ratio";
    options.goal = 1;
    std::vector<std::string> faults = {"none"};
    for (const Fault &fault : faultsFor(1))
        faults.emplace_back(fault.name);
    options.categories = faults;
    std::vector<ChartSeries> series;
    for (const std::size_t instances : kFleetSizes) {
        ChartSeries bars;
        bars.name = absl::StrCat(instances, " instances");
        for (const std::string &fault : faults) {
            double worst = 0;
            for (const LimitScenarioResult &entry : results) {
                if (entry.scenario.fault == fault
                    && entry.scenario.setup.fleet.instances == instances)
                    worst = std::max(worst, entry.result.worstOfRule);
            }
            bars.values.push_back(worst);
        }
        series.push_back(bars);
    }
    page.addMarkup(barChart(options, series));
}

} // namespace

std::vector<LimitScenario> steadyLimitScenarios(std::size_t instances)
{
    const std::size_t servers = serversOf(instances);
    const std::vector<std::pair<std::string, std::size_t>> parts = {
        {"one", 1}, {"third", servers / 3}, {"all", servers}};
    std::vector<LimitScenario> scenarios;
    for (const double limit : kLimits) {
        for (const auto &[part, limited] : parts) {
            LimitScenario scenario = scenarioOf(instances, limited, limit);
            if (scenario.setup.callsPerSecond > kMaxCallsPerSecond)
                continue;
            scenario.part = part;
            scenarios.push_back(scenario);
            scenario.demand = "one instance";
            scenario.setup.isDemandAtOneInstance = true;
            scenarios.push_back(scenario);
        }
    }
    return scenarios;
}

std::vector<LimitScenario> faultyLimitScenarios(std::size_t instances)
{
    std::vector<LimitScenario> scenarios;
    for (const double limit : kLimits) {
        for (const Fault &fault : faultsFor(limit)) {
            LimitScenario scenario = scenarioOf(instances, kServersWithFaults, limit);
            scenario.part = "six";
            scenario.fault = fault.name;
            scenario.setup.events = fault.events;
            scenarios.push_back(scenario);
        }
    }
    return scenarios;
}

std::vector<LimitScenarioResult> runLimitExperiment(std::uint64_t seed)
{
    std::vector<LimitScenarioResult> results;
    for (const std::size_t instances : kFleetSizes) {
        std::vector<LimitScenario> scenarios = steadyLimitScenarios(instances);
        const std::vector<LimitScenario> faulty = faultyLimitScenarios(instances);
        scenarios.insert(scenarios.end(), faulty.begin(), faulty.end());
        for (LimitScenario &scenario : scenarios) {
            const LimitTrialResult result = runLimitTrial(scenario.setup, seed);
            results.push_back({std::move(scenario), result});
        }
    }
    return results;
}

std::string toText(const std::vector<LimitScenarioResult> &results)
{
    std::string text = absl::StrCat(absl::StrJoin(kColumns, "\t"), "\n");
    for (const LimitScenarioResult &entry : results)
        absl::StrAppend(&text, absl::StrJoin(rowOf(entry), "\t"), "\n");
    return text;
}

nlohmann::json toJson(const std::vector<LimitScenarioResult> &results)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const LimitScenarioResult &entry : results) {
        const LimitTrialSetup &setup = entry.scenario.setup;
        const LimitTrialResult &result = entry.result;
        rows.push_back({{"instances", setup.fleet.instances},
                        {"servers", setup.limitedServers},
                        {"limit_per_second", setup.limit},
                        {"part", entry.scenario.part},
                        {"demand", entry.scenario.demand},
                        {"fault", entry.scenario.fault},
                        {"calls_per_second", setup.callsPerSecond},
                        {"used_share", result.usedShare},
                        {"requests_in_fullest_window", result.fullestWindow},
                        {"limit_in_fullest_window", result.limitInFullestWindow},
                        {"worst_of_rule", result.worstOfRule},
                        {"worst_of_aim", result.worstOfAim},
                        {"served_worth", result.servedWorth},
                        {"central_worth", result.centralWorth},
                        {"total_worth", result.totalWorth},
                        {"mean_wait_ms", result.meanWaitMs},
                        {"p95_wait_ms", result.p95WaitMs},
                        {"bytes_per_second", result.bytesPerSecond},
                        {"max_bytes_per_second", result.maxBytesPerSecond},
                        {"messages_per_second", result.messagesPerSecond}});
    }
    return rows;
}

std::string limitExperimentPage(const std::vector<LimitScenarioResult> &results)
{
    HtmlPage page("Rate limits of backend servers");
    page.addParagraph("Instances, their messages and servers with rate limits in virtual time. The "
                      "rule allows 1.5 times the limit and 5 requests in 4 s; the aim is 1.1 times "
                      "the limit and 2 requests. The central bucket knows all calls at once.");
    addUsedChart(page, results, "even");
    addUsedChart(page, results, "one instance");
    addRuleChart(page, results);
    std::vector<std::vector<std::string>> rows;
    rows.reserve(results.size());
    for (const LimitScenarioResult &entry : results)
        rows.push_back(rowOf(entry));
    page.addTable(kColumns, rows);
    return page.text();
}

} // namespace foxtailtally

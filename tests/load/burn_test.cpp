#include "core/metrics.h"
#include "core/random.h"
#include "load/report/burn_report.h"

#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);
const std::array<std::string, 4> kOutcomes = {"ok", "late", "failed", "refused"};

double valueOf(const OutcomeCounts &counts, const std::string &outcome)
{
    const std::array<double, 4> values = {counts.ok, counts.late, counts.failed, counts.refused};
    return values[static_cast<std::size_t>(std::find(kOutcomes.begin(), kOutcomes.end(), outcome)
                                           - kOutcomes.begin())];
}

} // namespace

// Guards against requests that are counted twice or lost when instances restart, counters appear
// late or a window cuts the observation.
TEST(BurnTest, CountsEachRequestOnceAcrossRestartsAndWindows)
{
    EXPECT_TRUE(rc::check("burn tracker", [](std::uint64_t seed) {
        Random random(seed);
        BurnTracker tracker;
        std::array<std::unique_ptr<Metrics>, 2> instances = {std::make_unique<Metrics>(),
                                                             std::make_unique<Metrics>()};
        std::vector<std::pair<absl::Time, std::pair<std::string, std::string>>> counted;
        absl::Time now = kStart;
        for (std::size_t i = 0; i < instances.size(); ++i)
            tracker.read(std::to_string(i), instances[i]->exposition(), now);
        for (int step = 0; step < 30; ++step) {
            now += absl::Seconds(30);
            for (std::size_t i = 0; i < instances.size(); ++i) {
                if (random.below(10) == 0) {
                    instances[i] = std::make_unique<Metrics>();
                    tracker.read(std::to_string(i), instances[i]->exposition(), now);
                }
                for (std::uint64_t n = 0, count = random.below(4); n < count; ++n) {
                    const std::string customer = random.below(2) == 0 ? "a" : "b";
                    const std::string outcome = kOutcomes[random.below(4)];
                    instances[i]
                        ->counter("foxtailtally_requests_total",
                                  {{"customer", customer},
                                   {"class", "urgent"},
                                   {"domain", "d\\\"1"},
                                   {"outcome", outcome}})
                        .add();
                    counted.push_back({now, {customer, outcome}});
                }
                tracker.read(std::to_string(i), instances[i]->exposition(), now);
            }
        }
        for (const std::string customer : {"a", "b"}) {
            for (const std::string &outcome : kOutcomes) {
                double all = 0;
                double recent = 0;
                for (const auto &[at, what] : counted) {
                    const bool isSame = what == std::pair(customer, outcome);
                    all += isSame ? 1 : 0;
                    recent += isSame && at > now - kShortBurnWindow ? 1 : 0;
                }
                const BurnTracker::Key key {"customer", customer};
                RC_ASSERT(valueOf(tracker.total(key), outcome) == all);
                RC_ASSERT(valueOf(tracker.within(key, kShortBurnWindow, now), outcome) == recent);
            }
        }
    }));
}

// Guards against burn rates that hide failures behind refusals, and against reports that cannot be
// read by machines or browsers.
TEST(BurnTest, ReportsBudgetByCustomerClassAndDomain)
{
    Metrics metrics;
    const auto add = [&](std::string_view customer, std::string_view outcome, std::uint64_t count) {
        metrics
            .counter("foxtailtally_requests_total",
                     {{"customer", customer},
                      {"class", "urgent"},
                      {"domain", "north"},
                      {"outcome", outcome}})
            .add(count);
    };
    add("<large>", "ok", 998);
    add("<large>", "late", 1);
    add("<large>", "failed", 1);
    add("small", "ok", 1000);
    add("small", "refused", 5000);
    // Quantiles of few values must be exact, since each instance sees few batch requests.
    for (const int milliseconds : {700, 250, 100})
        metrics.distribution("foxtailtally_time_to_first_token_seconds", {{"class", "urgent"}})
            .observe(absl::Milliseconds(milliseconds));
    BurnTracker tracker(true);
    tracker.read("one", metrics.exposition(), kStart);
    const BurnReport report = makeBurnReport(tracker, 0.999, {kStart});
    std::map<std::string, double> burn;
    for (const BurnRow &row : report.rows)
        burn[row.key.dimension + ":" + row.key.value] = row.shortBurnRate;
    EXPECT_NEAR(burn.at("customer:<large>"), 2, 1e-9);
    EXPECT_EQ(burn.at("customer:small"), 0);
    EXPECT_NEAR(burn.at("domain:north"), 1, 1e-9);
    EXPECT_NEAR(burn.at(":"), 1, 1e-9);
    EXPECT_EQ(toJson(report)["rows"].size(), 5U);
    EXPECT_NEAR(report.firstTokenTimes.at("urgent").p50, 0.25, 1e-9);
    EXPECT_NEAR(report.firstTokenTimes.at("urgent").p99, 0.7, 1e-9);
    const std::string page = burnPage(report);
    EXPECT_EQ(page.find("<large>"), std::string::npos);
    EXPECT_NE(page.find("&lt;large&gt;"), std::string::npos);
    EXPECT_EQ(page.find("http://"), page.find("http://www.w3.org"));
}

} // namespace foxtailtally

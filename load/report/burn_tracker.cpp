#include "load/report/burn_tracker.h"

#include <absl/container/btree_set.h>
#include <algorithm>

namespace foxtailtally {

namespace {

constexpr std::string_view kRequestsTotal = "foxtailtally_requests_total";
constexpr std::string_view kFirstToken = "foxtailtally_time_to_first_token_seconds";

OutcomeCounts countsOf(const std::string &outcome, double amount)
{
    OutcomeCounts counts;
    if (outcome == "ok")
        counts.ok = amount;
    else if (outcome == "late")
        counts.late = amount;
    else if (outcome == "failed")
        counts.failed = amount;
    else if (outcome == "refused")
        counts.refused = amount;
    return counts;
}

} // namespace

double OutcomeCounts::refusedRatio() const
{
    const double all = this->admitted() + this->refused;
    return all > 0 ? this->refused / all : 0;
}

double OutcomeCounts::burnRate(double objective) const
{
    if (this->admitted() <= 0)
        return 0;
    return this->bad() / this->admitted() / (1 - objective);
}

OutcomeCounts &OutcomeCounts::operator+=(const OutcomeCounts &other)
{
    this->ok += other.ok;
    this->late += other.late;
    this->failed += other.failed;
    this->refused += other.refused;
    return *this;
}

OutcomeCounts OutcomeCounts::operator-(const OutcomeCounts &other) const
{
    return {this->ok - other.ok, this->late - other.late, this->failed - other.failed,
            this->refused - other.refused};
}

void BurnTracker::read(const std::string &instance, std::string_view exposition, absl::Time now)
{
    this->begin = std::min(this->begin, now);
    absl::btree_set<absl::btree_map<std::string, std::string>> seen;
    for (const MetricSample &sample : parsePrometheusText(exposition)) {
        if (sample.name == kRequestsTotal) {
            this->addCounter(instance, sample, now);
            seen.insert(sample.labels);
        }
        if (sample.name != kFirstToken)
            continue;
        FirstTokenTimes &target = this->timesByClass[sample.label("class")];
        const std::string quantile = sample.label("quantile");
        if (quantile == "0.5")
            target.p50 = std::max(target.p50, sample.value);
        else if (quantile == "0.95")
            target.p95 = std::max(target.p95, sample.value);
        else if (quantile == "0.99")
            target.p99 = std::max(target.p99, sample.value);
    }
    this->knownInstances[instance] = true;
    // A restarted instance lacks a counter until the first request with its labels has ended.
    for (auto &[key, value] : this->last) {
        if (key.first == instance && !seen.contains(key.second))
            value = 0;
    }
}

void BurnTracker::addCounter(const std::string &instance, const MetricSample &sample,
                             absl::Time now)
{
    const auto [last, isNew] = this->last.try_emplace({instance, sample.labels}, sample.value);
    double increase = 0;
    if (!isNew) {
        // A lower value means that the instance restarted, which reset the counter to zero.
        increase = sample.value >= last->second ? sample.value - last->second : sample.value;
        last->second = sample.value;
    } else if (this->countsPast || this->knownInstances.contains(instance)) {
        // A counter that is missing from the first reading started at zero.
        increase = sample.value;
    }
    const OutcomeCounts counts = countsOf(sample.label("outcome"), increase);
    this->addIncrease({}, counts, now);
    for (const std::string_view dimension : kBurnDimensions) {
        const std::string name(dimension);
        this->addIncrease({name, sample.label(name)}, counts, now);
    }
}

void BurnTracker::addIncrease(const Key &key, const OutcomeCounts &increase, absl::Time now)
{
    std::vector<Point> &points = this->series[key];
    if (points.empty())
        points.push_back({this->begin, {}});
    if (points.back().at != now)
        points.push_back({now, points.back().sum});
    points.back().sum += increase;
}

std::vector<BurnTracker::Key> BurnTracker::keys() const
{
    std::vector<Key> keys;
    for (const auto &[key, points] : this->series)
        keys.push_back(key);
    return keys;
}

OutcomeCounts BurnTracker::within(const Key &key, absl::Duration window, absl::Time now) const
{
    const auto found = this->series.find(key);
    if (found == this->series.end())
        return {};
    const auto sumAt = [&](absl::Time time) {
        OutcomeCounts sum;
        for (const Point &point : found->second) {
            if (point.at > time)
                break;
            sum = point.sum;
        }
        return sum;
    };
    return sumAt(now) - sumAt(now - window);
}

OutcomeCounts BurnTracker::total(const Key &key) const
{
    const auto found = this->series.find(key);
    return found == this->series.end() ? OutcomeCounts {} : found->second.back().sum;
}

} // namespace foxtailtally

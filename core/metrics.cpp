#include "core/metrics.h"

#include "core/lock.h"
#include "core/text.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>

namespace foxtailtally {

namespace {

namespace ba = boost::accumulators;

using Accumulator = ba::accumulator_set<
    double,
    ba::stats<ba::tag::count, ba::tag::mean, ba::tag::max, ba::tag::extended_p_square_quantile>>;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

// Up to this many values, quantiles are computed exactly: the estimator is inaccurate, and its
// quantiles may be out of order, until it has seen this many.
constexpr std::size_t kMaxExactSamples = 128;

/** Nearest-rank quantile of @p sorted, which must not be empty. */
double nearestRankQuantile(const std::vector<double> &sorted, double quantile)
{
    const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

std::string metricKey(std::string_view name, const std::vector<Label> &labels)
{
    std::string key(name);
    if (labels.empty())
        return key;
    const char *separator = "{";
    for (const Label &label : labels) {
        absl::StrAppend(&key, separator, asAbsl(label.name), "=\"", asAbsl(label.value), "\"");
        separator = ",";
    }
    key += '}';
    return key;
}

/** Appends @p suffix to the name and @p extraLabel to the labels of @p key. */
std::string derivedKey(std::string_view key, std::string_view suffix, std::string_view extraLabel)
{
    const std::size_t brace = key.find('{');
    std::string derived(key.substr(0, brace));
    derived += suffix;
    std::string labels;
    if (brace != std::string_view::npos)
        labels = key.substr(brace + 1, key.size() - brace - 2);
    if (!labels.empty() && !extraLabel.empty())
        labels += ',';
    labels += extraLabel;
    if (!labels.empty())
        derived += "{" + labels + "}";
    return derived;
}

} // namespace

struct Distribution::State
{
    mutable pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    Accumulator accumulator {ba::extended_p_square_probabilities = kQuantiles};
    /** The first kMaxExactSamples values, for exact quantiles of small samples. */
    std::vector<double> firstSamples;
};

Distribution::Distribution()
    : state(std::make_unique<State>())
{ }

Distribution::~Distribution() = default;

void Distribution::observe(absl::Duration duration)
{
    const Lock lock(this->state->mutex);
    const double seconds = absl::ToDoubleSeconds(duration);
    this->state->accumulator(seconds);
    if (this->state->firstSamples.size() < kMaxExactSamples)
        this->state->firstSamples.push_back(seconds);
}

Distribution::Snapshot Distribution::snapshot() const
{
    const Lock lock(this->state->mutex);
    const Accumulator &accumulator = this->state->accumulator;
    Snapshot snapshot;
    snapshot.count = ba::count(accumulator);
    if (snapshot.count == 0)
        return snapshot;
    snapshot.meanSeconds = ba::mean(accumulator);
    snapshot.maxSeconds = ba::max(accumulator);
    if (snapshot.count <= kMaxExactSamples) {
        std::vector<double> sorted = this->state->firstSamples;
        std::sort(sorted.begin(), sorted.end());
        snapshot.p50Seconds = nearestRankQuantile(sorted, kQuantiles[0]);
        snapshot.p95Seconds = nearestRankQuantile(sorted, kQuantiles[1]);
        snapshot.p99Seconds = nearestRankQuantile(sorted, kQuantiles[2]);
        return snapshot;
    }
    snapshot.p50Seconds = ba::quantile(accumulator, ba::quantile_probability = 0.5);
    snapshot.p95Seconds = ba::quantile(accumulator, ba::quantile_probability = 0.95);
    snapshot.p99Seconds = ba::quantile(accumulator, ba::quantile_probability = 0.99);
    return snapshot;
}

Metrics::~Metrics()
{
    pthread_mutex_destroy(&this->mutex);
}

Counter &Metrics::counter(std::string_view name, const std::vector<Label> &labels)
{
    const Lock lock(this->mutex);
    std::unique_ptr<Counter> &slot = this->counters[metricKey(name, labels)];
    if (slot == nullptr)
        slot = std::make_unique<Counter>();
    return *slot;
}

Distribution &Metrics::distribution(std::string_view name, const std::vector<Label> &labels)
{
    const Lock lock(this->mutex);
    std::unique_ptr<Distribution> &slot = this->distributions[metricKey(name, labels)];
    if (slot == nullptr)
        slot = std::make_unique<Distribution>();
    return *slot;
}

std::string Metrics::exposition() const
{
    const Lock lock(this->mutex);
    std::string text;
    for (const auto &[key, counter] : this->counters)
        absl::StrAppend(&text, key, " ", counter->value(), "\n");
    for (const auto &[key, distribution] : this->distributions) {
        const Distribution::Snapshot snapshot = distribution->snapshot();
        absl::StrAppend(&text, derivedKey(key, "", "quantile=\"0.5\""), " ", snapshot.p50Seconds,
                        "\n");
        absl::StrAppend(&text, derivedKey(key, "", "quantile=\"0.95\""), " ", snapshot.p95Seconds,
                        "\n");
        absl::StrAppend(&text, derivedKey(key, "", "quantile=\"0.99\""), " ", snapshot.p99Seconds,
                        "\n");
        absl::StrAppend(&text, derivedKey(key, "_sum", ""), " ",
                        snapshot.meanSeconds * static_cast<double>(snapshot.count), "\n");
        absl::StrAppend(&text, derivedKey(key, "_count", ""), " ", snapshot.count, "\n");
    }
    return text;
}

} // namespace foxtailtally

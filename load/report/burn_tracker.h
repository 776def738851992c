#pragma once

#include "load/report/prometheus_text.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Windows of the burn rate. */
constexpr absl::Duration kShortBurnWindow = absl::Minutes(5);
constexpr absl::Duration kLongBurnWindow = absl::Hours(1);

/** Metric labels by which requests are grouped. */
constexpr std::array<std::string_view, 3> kBurnDimensions = {"customer", "class", "domain"};

/** Numbers of requests by outcome. */
struct OutcomeCounts
{
    double ok = 0;
    double late = 0;
    double failed = 0;
    double refused = 0;

    /** Admitted requests. Refusals are correct responses and use no error budget. */
    double admitted() const { return this->ok + this->late + this->failed; }
    double bad() const { return this->late + this->failed; }
    double refusedRatio() const;
    /** Ratio of bad to admitted requests, divided by the ratio that @p objective allows. */
    double burnRate(double objective) const;
    OutcomeCounts &operator+=(const OutcomeCounts &other);
    OutcomeCounts operator-(const OutcomeCounts &other) const;
};

/** Largest quantiles over all instances and readings, in seconds. */
struct FirstTokenTimes
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/**
 * Sums the increases of the instances' counters over time. A restart of an instance resets its
 * counters to zero. Unless countsPast is set, the first reading of an instance is the baseline and
 * adds nothing.
 */
class BurnTracker
{
public:
    /** A value of a dimension, for example dimension "class", value "urgent". */
    struct Key
    {
        std::string dimension;
        std::string value;
        auto operator<=>(const Key &) const = default; // NOLINT(modernize-use-nullptr)
    };

    /** With @p countsPast, requests before the first reading of an instance are included. */
    explicit BurnTracker(bool countsPast = false)
        : countsPast(countsPast)
    { }

    /** Adds a reading of the metrics of @p instance; @p now must not decrease between calls. */
    void read(const std::string &instance, std::string_view exposition, absl::Time now);

    /** Keys seen so far; the first, with an empty dimension, covers all requests. */
    std::vector<Key> keys() const;
    /** Requests that ended within @p window before @p now, limited to the time of the readings. */
    OutcomeCounts within(const Key &key, absl::Duration window, absl::Time now) const;
    /** Requests of the whole observation. */
    OutcomeCounts total(const Key &key) const;
    const absl::btree_map<std::string, FirstTokenTimes> &firstTokenTimes() const
    {
        return this->timesByClass;
    }
    absl::Time firstReading() const { return this->begin; }

private:
    struct Point
    {
        absl::Time at;
        OutcomeCounts sum;
    };

    void addCounter(const std::string &instance, const MetricSample &sample, absl::Time now);
    void addIncrease(const Key &key, const OutcomeCounts &increase, absl::Time now);

    bool countsPast;
    absl::Time begin = absl::InfiniteFuture();
    absl::btree_map<std::string, bool> knownInstances;
    /** Last value of each counter of each instance. */
    absl::btree_map<std::pair<std::string, absl::btree_map<std::string, std::string>>, double> last;
    absl::btree_map<Key, std::vector<Point>> series;
    absl::btree_map<std::string, FirstTokenTimes> timesByClass;
};

} // namespace foxtailtally

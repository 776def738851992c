#pragma once

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <pthread.h>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** A label of a metric. */
struct Label
{
    std::string_view name;
    std::string_view value;
};

/** Monotonically increasing counter. */
class Counter
{
public:
    void add(std::uint64_t amount = 1) { this->total.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return this->total.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> total {0};
};

/** Count, mean, maximum and quantiles of observed durations (Boost.Accumulators). */
class Distribution
{
public:
    struct Snapshot
    {
        std::uint64_t count = 0;
        double meanSeconds = 0;
        double maxSeconds = 0;
        double p50Seconds = 0;
        double p95Seconds = 0;
        double p99Seconds = 0;
    };

    Distribution();
    ~Distribution();
    Distribution(const Distribution &) = delete;
    Distribution &operator=(const Distribution &) = delete;

    void observe(absl::Duration duration);
    Snapshot snapshot() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

/** Registry of all metrics of a process. Returned references stay valid as long as the registry. */
class Metrics
{
public:
    Metrics() = default;
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    Counter &counter(std::string_view name, const std::vector<Label> &labels = {});
    Distribution &distribution(std::string_view name, const std::vector<Label> &labels = {});

    /** Prometheus text exposition format; durations are in seconds. */
    std::string exposition() const;

private:
    mutable pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    absl::btree_map<std::string, std::unique_ptr<Counter>> counters;
    absl::btree_map<std::string, std::unique_ptr<Distribution>> distributions;
};

} // namespace foxtailtally

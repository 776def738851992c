#pragma once

#include "servers/placement/stream_part.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/** Reads that a server does one after the other; only the oldest has made progress. */
class PrefillBacklog
{
public:
    /** A read of @p prefillMs milliseconds that began at @p since, or waits since then. */
    void add(double prefillMs, absl::Time since);
    void merge(const PrefillBacklog &other);
    bool isEmpty() const { return this->oldestMs <= 0; }
    double leftMs(absl::Time now) const;

    /** Planned time of the oldest read and of all others, in milliseconds. */
    double oldestMs = 0;
    double behindMs = 0;
    absl::Time oldestSince = absl::InfiniteFuture();
};

/** What is lost when the pauses of a server's writers exceed an objective. */
struct EventGapRisk
{
    int objectiveMs = 0;
    float value = 0;
};

/** What is lost when the first event of a stream that waits at a server is late. */
struct FirstEventRisk
{
    absl::Time dueAt;
    float value = 0;
};

/**
 * Load of one server as its known streams make it, in sums: they can be added up over instances and
 * told in a few bytes, however many streams there are.
 */
struct ServerLoad
{
    /** Most stakes of a kind that are kept, those of the highest value. */
    static constexpr std::size_t kMaxRisks = 8;
    /** Time for which a stream counts as an arrival. */
    static constexpr absl::Duration kArrivalWindow = absl::Seconds(1);

    /** Streams that occupy a slot. */
    std::int64_t streams = 0;
    std::int64_t decodingStreams = 0;
    /** Streams whose whole prompt is read here in a short time. */
    std::int64_t shortStreams = 0;
    /** Streams, and short ones, that were placed within kArrivalWindow. */
    std::int64_t arrivals = 0;
    std::int64_t shortArrivals = 0;
    std::int64_t memoryTokens = 0;
    /** Parts of split prompts, which servers read first, and whole prompts. */
    PrefillBacklog splitPrefills;
    PrefillBacklog wholePrefills;
    absl::InlinedVector<EventGapRisk, 3> eventGapRisks;
    absl::InlinedVector<FirstEventRisk, 2> firstEventRisks;

    /** Time until the reads that are placed are done, and the part of it for split prompts. */
    double prefillLeftMs = 0;
    double splitPrefillLeftMs = 0;

    void add(const StreamPart &part, absl::Time now);
    void merge(const ServerLoad &other);
    /** Computes the times that are left at @p now; called when all has been added. */
    void updateTimeLeft(absl::Time now);
    bool isIdle() const;

private:
    void addPauseStake(const EventGapRisk &stake);
    void addFirstEventStake(const FirstEventRisk &stake);
};

using ServerLoads = absl::flat_hash_map<ServerKey, ServerLoad>;

} // namespace foxtailtally

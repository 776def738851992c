#pragma once

#include "servers/placement/stream_part.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/** Prefills that a server runs one after the other; only the oldest has made progress. */
class PrefillBacklog
{
public:
    /** Adds a prefill of @p prefillMs milliseconds that began or was queued at @p since. */
    void add(double prefillMs, absl::Time since);
    void merge(const PrefillBacklog &other);
    bool isEmpty() const { return this->oldestMs <= 0; }
    double leftMs(absl::Time now) const;

    /** Planned time of the oldest prefill, and of all others together, in milliseconds. */
    double oldestMs = 0;
    double queuedMs = 0;
    absl::Time oldestSince = absl::InfiniteFuture();
};

/** Value that is lost when the event gaps of a server's decoding streams exceed an objective. */
struct EventGapRisk
{
    int objectiveMs = 0;
    float value = 0;
};

/** Value that is lost when the first event of a stream that waits at a server is late. */
struct FirstEventRisk
{
    absl::Time dueAt;
    float value = 0;
};

/**
 * Load of one server, summed over its known streams. The sums can be added up over instances and
 * take a few bytes in a message, however many streams there are.
 */
struct ServerLoad
{
    /** Maximum number of risks of a kind; of first events, those of the highest value are kept. */
    static constexpr std::size_t kMaxRisks = 8;
    /** Time after its placement for which a stream counts as an arrival. */
    static constexpr absl::Duration kArrivalWindow = absl::Seconds(1);

    /** Streams that occupy a slot. */
    std::int64_t streams = 0;
    std::int64_t decodingStreams = 0;
    /** Streams whose prefill at this server is shorter than kShortPrefillMs. */
    std::int64_t shortStreams = 0;
    /** Streams, and short ones, that were placed within the last kArrivalWindow. */
    std::int64_t arrivals = 0;
    std::int64_t shortArrivals = 0;
    std::int64_t memoryTokens = 0;
    /** Deferred streams without a first event, and the memory that they will hold; both are
     * contained in the numbers above. */
    std::int64_t deferredStreams = 0;
    std::int64_t deferredMemoryTokens = 0;
    /** Parts of split prompts, which engines prefill first, and whole prompts. */
    PrefillBacklog splitPrefills;
    PrefillBacklog wholePrefills;
    /** Whole prompts of deferred streams, which are not in wholePrefills. */
    PrefillBacklog deferredPrefills;
    absl::InlinedVector<EventGapRisk, 3> eventGapRisks;
    absl::InlinedVector<FirstEventRisk, 2> firstEventRisks;

    /** Time until the placed prefills are done, and the parts of it that split prompts and the
     * whole prompts of deferred streams take. */
    double prefillLeftMs = 0;
    double splitPrefillLeftMs = 0;
    double deferredPrefillLeftMs = 0;

    void add(const StreamPart &part, absl::Time now);
    void merge(const ServerLoad &other);
    /** Computes the times left at @p now; to be called after the last add() or merge(). */
    void updateTimeLeft(absl::Time now);
    bool isIdle() const;
    /**
     * The load that delays a stream with the priority of timely ones at a server with @p slots:
     * without the deferred streams that the server has not admitted. Streams that exceed the slots
     * are taken for deferred ones first, since these are admitted last.
     */
    ServerLoad withoutQueuedDeferred(std::int64_t slots) const;

private:
    void addEventGapRisk(const EventGapRisk &risk);
    void addFirstEventRisk(const FirstEventRisk &risk);
};

using ServerLoads = absl::flat_hash_map<ServerKey, ServerLoad>;

} // namespace foxtailtally

#pragma once

#include "servers/catalog/serving_config.h"
#include "servers/placement/server_load.h"

#include <absl/time/time.h>
#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace foxtailtally {

/** An engine on which a stream may be placed. */
struct EngineCandidate
{
    ServerKey server = 0;
    /** Maximum number of streams that it runs at once. */
    std::int64_t slots = 1;
    /** Ratio of the time it takes for a piece of work to the planned time. */
    double slowdown = 1.0;
    /** It may take no further request now because it is cold. */
    bool exceedsColdRate = false;
    bool isSuspect = false;
    /** It is in the failure domain of this instance. */
    bool isSameDomain = true;
    /** Recent connections to it have failed. */
    bool isUnreachable = false;
    /** It has a rate limit, so each request to it needs a token. */
    bool isLimited = false;
    /** No token of it is expected in time. */
    bool lacksToken = false;
    /** Added to the wait of short streams, so that instances whose load data is slightly stale do
     * not all choose the same engine. */
    double jitterMs = 0;
    /** The stream may be queued there until enough memory is free. */
    bool mayExceedMemory = false;
    /** Number of streams that may be queued there beyond the usual number. */
    std::int64_t extraQueue = 0;
};

struct StreamDemand
{
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0;
    /** Time left until the first event is due. */
    absl::Duration firstEventDue = absl::ZeroDuration();
    absl::Duration eventGapObjective = absl::ZeroDuration();
    /** Objective for the time from the call's arrival to the first event. */
    absl::Duration objective = absl::ZeroDuration();
    /** Time left until the caller abandons the call. */
    absl::Duration callerTimeLeft = absl::ZeroDuration();
    /** No engine may help that the prompt's memory does not need. */
    bool usesFewestEngines = false;
    /** The stream has the priority of timely ones: it overtakes deferred streams in queues. */
    bool overtakesDeferred = false;
    /** Events of the stream have been forwarded to the caller before. */
    bool isResumed = false;
    /** Priority of the customer or route; 0 is the most urgent. */
    int urgency = 0;
};

struct StreamPlan
{
    /** Index of the candidate that decodes the stream. */
    std::size_t server = 0;
    /** Indices of the candidates that prefill an equal part of the prompt each, besides the server
     * itself. */
    std::vector<std::size_t> helpers;
    /** Those of the helpers that also hold a share of the prompt's memory. */
    std::vector<std::size_t> holders;
    bool isHolder(std::size_t candidate) const
    {
        return std::find(this->holders.begin(), this->holders.end(), candidate)
            != this->holders.end();
    }
    /** Tokens of memory that the server and each holder need. */
    std::int64_t shareTokens = 0;
    double predictedFirstEventMs = 0;
    /** Value of other streams' responses that the prefill would make late. */
    double harm = 0;
    /** Value of the stream less its cost to others; negative when the stream had better wait. */
    double netValue = 0;
    /** Time that the prefill of each part takes. */
    double partPrefillMs = 0;
    /** The stream is sent with the priority of late ones. */
    bool isDeferred = false;
};

/** Current arrivals of short streams, which need engines without long prefills. */
struct ShortTraffic
{
    double perSecond = 0;
    /** Number of engines, counted from the first candidate, that are kept for short streams. */
    std::size_t engines = 1;
};

/** Estimates the short streams in @p loads, for @p engines candidates of @p slots each. */
ShortTraffic shortTraffic(const ServerLoads &loads, std::size_t engines, std::int64_t slots);

/** Upper bound of EngineCandidate::jitterMs for a number of instances. */
double jitterBoundMs(std::size_t instances);

/** Price of a millisecond of prefill, given the prefills that wait at @p candidates. */
double prefillPricePerMs(std::span<const EngineCandidate> candidates, const ServerLoads &loads);

/** Value of a response on time; it grows with the prompt, as does the work that depends on it. */
double streamValue(std::int64_t promptTokens);

/** Demand of @p plan on each engine, that of the decoding one first. @p isResumed: earlier events
 * of the stream have already been forwarded to the caller. */
std::vector<StreamPart> streamParts(const StreamPlan &plan,
                                    std::span<const EngineCandidate> candidates,
                                    const StreamDemand &demand, std::uint32_t stream,
                                    bool isResumed, absl::Time now);

/**
 * Chooses the engine for a stream, and engines that help to prefill its prompt, so as to maximise
 * the value of the responses that are on time: the stream's own, less that of the streams which its
 * prefill would make late. Engines interleave prefill with decoding, so one long prefill stalls all
 * decoding streams of its engine for the length of a pass, while many short parts stall none of
 * them beyond its event gap objective.
 */
class StreamPlacement
{
public:
    StreamPlacement(const EngineTiming &engine, const StreamDemand &demand, absl::Time now);

    /**
     * Empty when no candidate can take the stream. All instances list the candidates in the same
     * order, in which the failure domains alternate: short streams fill engines from the start of
     * the list, long prefills use those at its end.
     */
    std::optional<StreamPlan> choose(std::span<const EngineCandidate> candidates,
                                     const ServerLoads &loads) const;

    /**
     * True when the stream should wait for a plan that does not harm others: it is not short, and
     * its first event will still be on time after the wait.
     */
    bool shouldWait(const StreamPlan &plan) const;
    /** False when a long prefill costs other streams more value than it gains. */
    bool isWorthwhile(const StreamPlan &plan) const;

private:
    struct Option;

    Option assess(const EngineCandidate &candidate, const ServerLoad &load, double partMs,
                  std::size_t parts) const;
    double preference(std::size_t rank, std::span<const EngineCandidate> candidates,
                      const Option &option, const ShortTraffic &traffic) const;
    double futureHarm(std::size_t rank, const ShortTraffic &traffic, double partMs) const;
    double harm(const EngineCandidate &candidate, const ServerLoad &load, double partMs,
                std::size_t parts) const;
    bool isShort() const;
    bool hasMemory(const EngineCandidate &candidate, const ServerLoad &load) const;
    /** Number of engines among which the memory of the prompt is divided. */
    std::size_t memoryShares() const;
    std::int64_t totalTokens() const;
    double gain(const Option &option, double firstEventMs) const;
    double onTimeShare(double predictedMs) const;

    EngineTiming engine;
    StreamDemand demand;
    absl::Time now;
    double wholePrefillMs = 0;
    double value = 0;
};

} // namespace foxtailtally

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

/** An engine that may get a stream. */
struct EngineCandidate
{
    ServerKey server = 0;
    /** Streams that it runs at once. */
    std::int64_t slots = 1;
    /** Its time for a piece of work compared with the cost law; 1 is as planned. */
    double slowdown = 1.0;
    /** It may take no further request now because it is cold. */
    bool exceedsColdRate = false;
    bool isSuspect = false;
    /** It is in the failure domain of this instance. */
    bool isSameDomain = true;
    /** No connection to it came about lately. */
    bool isUnreachable = false;
    /** Added to the wait when short streams choose, so that instances whose knowledge is a little
     * old do not all choose the same engine. */
    double jitterMs = 0;
    /** The stream may wait there until its memory is free. */
    bool mayExceedMemory = false;
};

struct StreamDemand
{
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0;
    /** Time left until the first event is due. */
    absl::Duration firstEventDue = absl::ZeroDuration();
    absl::Duration eventGapObjective = absl::ZeroDuration();
    /** Time for the first event, counted from the call's arrival. */
    absl::Duration objective = absl::ZeroDuration();
    /** Time left until the caller gives the call up. */
    absl::Duration usefulLeft = absl::ZeroDuration();
};

struct StreamPlan
{
    std::size_t server = 0;
    /** Candidates that read an even part of the prompt each, besides the server itself. */
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
    /** Value of the answers that the read would make late. */
    double harm = 0;
    /** Value of the stream less all that it costs others; negative when it had better wait. */
    double netValue = 0;
    /** Time that each part takes to read. */
    double partPrefillMs = 0;
};

/** Short streams that arrive now; they need engines without long reads. */
struct ShortTraffic
{
    double perSecond = 0;
    /** Engines, counted from the first candidate, that are left to them. */
    std::size_t engines = 1;
};

/** The short streams in @p loads, for @p engines candidates of @p slots each. */
ShortTraffic shortTraffic(const ServerLoads &loads, std::size_t engines, std::int64_t slots);

/** Upper bound of EngineCandidate::jitterMs for a number of instances. */
double jitterBoundMs(std::size_t instances);

/** Value of a millisecond of reading, by the reads that wait at @p candidates. */
double prefillPricePerMs(std::span<const EngineCandidate> candidates, const ServerLoads &loads);

/** What an answer on time is worth; grows with the prompt, as the work that hangs on it does. */
double streamValue(std::int64_t promptTokens);

/** What @p plan asks of each engine, the one that writes first. @p isResumed: events of the stream
 * have been passed on before. */
std::vector<StreamPart> streamParts(const StreamPlan &plan,
                                    std::span<const EngineCandidate> candidates,
                                    const StreamDemand &demand, std::uint32_t stream,
                                    bool isResumed, absl::Time now);

/**
 * Chooses the engine for a stream, and engines that help to read its prompt, so that the value of
 * all answers on time is highest: the stream's own, less that of the streams which the read would
 * make late. Engines interleave reads with writing, so one long read stops all writers of its
 * engine for the length of a pass, while many short parts stop nobody beyond its pause objective.
 */
class StreamPlacement
{
public:
    StreamPlacement(const EngineTiming &engine, const StreamDemand &demand, absl::Time now);

    /**
     * Empty when no candidate can take the stream. All instances list the candidates in the same
     * order, in which the failure domains take turns: short streams fill engines from its start,
     * long reads use those at its end.
     */
    std::optional<StreamPlan> choose(std::span<const EngineCandidate> candidates,
                                     const ServerLoads &loads) const;

    /**
     * True when the stream should wait for a plan without harm: it is not short, and even after
     * the wait its first event is on time.
     */
    bool shouldWait(const StreamPlan &plan) const;
    /** False when a long read costs others more than it brings. */
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
    /** Engines among which the memory of the prompt is divided. */
    std::size_t memoryShares() const;
    std::int64_t totalTokens() const;
    double gain(const Option &option, double firstEventMs) const;
    double onTimeShare(double predictedMs) const;

    EngineTiming engine;
    StreamDemand demand;
    absl::Time now;
    double wholeReadMs = 0;
    double value = 0;
};

} // namespace foxtailtally

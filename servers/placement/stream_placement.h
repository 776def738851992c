#pragma once

#include "servers/catalog/serving_config.h"
#include "servers/placement/stream_ledger.h"

#include <absl/time/time.h>
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
    double slowness = 1.0;
    /** It may take no further request now because it is cold. */
    bool isRateBound = false;
    bool isSuspect = false;
};

struct StreamDemand
{
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0;
    /** Time left until the first event is due. */
    absl::Duration firstEventDue = absl::ZeroDuration();
    absl::Duration pauseObjective = absl::ZeroDuration();
    /** Time left until the call has to be over. */
    absl::Duration timeLeft = absl::ZeroDuration();
};

struct StreamPlan
{
    std::size_t server = 0;
    /** Candidates that read an even part of the prompt each, besides the server itself. */
    std::vector<std::size_t> helpers;
    double predictedFirstEventMs = 0;
    /** Time that each part takes to read. */
    double partReadMs = 0;
};

/** What an answer on time is worth; grows with the prompt, as the work that hangs on it does. */
double streamValue(std::int64_t promptTokens);

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

    /** Empty when no candidate can take the stream. */
    std::optional<StreamPlan> choose(std::span<const EngineCandidate> candidates,
                                     const absl::flat_hash_map<ServerKey, ServerLoad> &loads) const;

private:
    struct Option;

    Option assess(const EngineCandidate &candidate, const ServerLoad &load, double partMs,
                  bool isHelper) const;
    double harm(const EngineCandidate &candidate, const ServerLoad &load, double partMs,
                bool isHelper) const;
    bool fits(const EngineCandidate &candidate, const ServerLoad &load) const;
    double onTimeShare(double predictedMs) const;

    EngineTiming engine;
    StreamDemand demand;
    absl::Time now;
    double wholeReadMs = 0;
    double value = 0;
};

} // namespace foxtailtally

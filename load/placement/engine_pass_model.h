#pragma once

#include "servers/catalog/serving_config.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace foxtailtally {

/** One engine in virtual time: batches of writers, reads in chunks between their steps. */
class EnginePassModel
{
public:
    /** Work that one stream brings to one engine. */
    struct Job
    {
        std::int64_t stream = 0;
        /** Tokens of the prompt that this engine reads. */
        std::int64_t prefillTokens = 0;
        /** Tokens of the whole prompt; the cost of pairs is shared evenly over its parts. */
        std::int64_t promptTokens = 0;
        /** The part of a split read; it goes ahead of other reads. */
        bool isSplit = false;
        /** Reads only; another engine writes. */
        bool isHelper = false;
        std::int64_t events = 1;
        std::int64_t arrival = 0;
        /** The other engines have not read their parts yet. */
        bool isWaitingForParts = false;
        std::int64_t prefilledTokens = 0;
        bool isPrefilled = false;
        bool hasFirst = false;
        /** Kind of the stream, for the trial's account. */
        int kind = 0;
    };

    /** What happened by the end of a pass. */
    struct PassResult
    {
        double durationMs = 0;
        /** Streams whose part was read here. */
        std::vector<std::int64_t> prefilledStreams;
        /** Streams of which an event was made, each once. */
        std::vector<std::int64_t> events;
        /** Streams that have written their last event. */
        std::vector<std::int64_t> finished;
    };

    explicit EnginePassModel(const EngineTiming &timing)
        : timing(timing)
    { }

    void add(const Job &job) { this->jobs.push_back(job); }
    void remove(std::int64_t stream);
    /** All parts of @p stream are read: its engine may write. */
    void release(std::int64_t stream);
    bool hasWork() const;
    PassResult runPass();

private:
    double prefillChunk(std::int64_t budget, std::vector<std::int64_t> &prefilledStreams);

    EngineTiming timing;
    std::deque<Job> jobs;
};

} // namespace foxtailtally

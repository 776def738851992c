#pragma once

#include "servers/catalog/serving_config.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace foxtailtally {

/** Model of one engine in virtual time: it decodes streams in batches and prefills prompts in
 * chunks between the decoding steps. */
class EnginePassModel
{
public:
    /** Work of one stream on one engine. */
    struct Job
    {
        std::int64_t stream = 0;
        /** Prompt tokens that this engine prefills. */
        std::int64_t prefillTokens = 0;
        /** Tokens of the whole prompt; the cost of its token pairs is divided evenly among its
         * parts. */
        std::int64_t promptTokens = 0;
        /** A part of a split prompt; it is prefilled ahead of whole prompts. */
        bool isSplit = false;
        /** Prefills only; another engine decodes. */
        bool isHelper = false;
        std::int64_t events = 1;
        std::int64_t arrival = 0;
        /** Waiting jobs with a lower number are admitted first. */
        int priority = 5;
        /** Holds a slot; helpers need none. */
        bool isAdmitted = false;
        /** Other engines have not prefilled their parts yet. */
        bool isWaitingForParts = false;
        std::int64_t prefilledTokens = 0;
        bool isPrefilled = false;
        bool hasFirst = false;
        /** Kind of the stream, for the results of the trial. */
        int kind = 0;
    };

    /** What a pass has done. */
    struct PassResult
    {
        double durationMs = 0;
        /** Streams whose part has been prefilled on this engine. */
        std::vector<std::int64_t> prefilledStreams;
        /** Streams that produced an event, each once. */
        std::vector<std::int64_t> events;
        /** Streams that produced their last event. */
        std::vector<std::int64_t> finished;
    };

    explicit EnginePassModel(const EngineTiming &timing)
        : timing(timing)
    { }

    void add(const Job &job) { this->jobs.push_back(job); }
    void remove(std::int64_t stream);
    /** All parts of @p stream are prefilled: its engine may decode it. */
    void release(std::int64_t stream);
    bool hasWork() const;
    /** Number of streams that wait for a slot. */
    std::int64_t queuedStreams() const;
    PassResult runPass();

private:
    /** Gives free slots to waiting jobs, by priority and then by arrival. */
    void admit();
    double prefillChunk(std::int64_t budget, std::vector<std::int64_t> &prefilledStreams);

    EngineTiming timing;
    std::deque<Job> jobs;
};

} // namespace foxtailtally

#include "load/placement/engine_pass_model.h"

#include <algorithm>

namespace foxtailtally {

void EnginePassModel::remove(std::int64_t stream)
{
    std::erase_if(this->jobs, [stream](const Job &job) { return job.stream == stream; });
}

void EnginePassModel::release(std::int64_t stream)
{
    for (Job &job : this->jobs) {
        if (job.stream == stream)
            job.isWaitingForParts = false;
    }
}

bool EnginePassModel::hasWork() const
{
    return std::any_of(this->jobs.begin(), this->jobs.end(), [](const Job &job) {
        return !job.isPrefilled || (!job.isHelper && !job.isWaitingForParts);
    });
}

std::int64_t EnginePassModel::queuedStreams() const
{
    const auto streams = std::count_if(this->jobs.begin(), this->jobs.end(),
                                       [](const Job &job) { return !job.isHelper; });
    return std::max<std::int64_t>(0, streams - this->timing.slots);
}

void EnginePassModel::admit()
{
    std::int64_t admitted = std::count_if(this->jobs.begin(), this->jobs.end(),
                                          [](const Job &job) { return job.isAdmitted; });
    for (; admitted < this->timing.slots; ++admitted) {
        Job *next = nullptr;
        for (Job &job : this->jobs) {
            const bool isWaiting = !job.isHelper && !job.isAdmitted;
            if (isWaiting && (!next || job.priority < next->priority))
                next = &job;
        }
        if (!next)
            return;
        next->isAdmitted = true;
    }
}

EnginePassModel::PassResult EnginePassModel::runPass()
{
    this->admit();
    PassResult result;
    std::int64_t decodingStreams = 0;
    std::int64_t context = 0;
    for (const Job &job : this->jobs) {
        if (job.isAdmitted && job.isPrefilled && !job.isWaitingForParts) {
            ++decodingStreams;
            context += job.promptTokens;
        }
    }
    const std::int64_t steps = decodingStreams > 0 ? this->timing.stepsPerPass : 1;
    const double step = this->timing.stepMs
        + this->timing.stepMsPerDecodingStream * static_cast<double>(decodingStreams)
        + this->timing.stepMsPerThousandContext * static_cast<double>(context) / 1000.0;
    for (std::int64_t i = 0; i < steps; ++i)
        result.durationMs +=
            step + this->prefillChunk(this->timing.chunkTokens, result.prefilledStreams);
    for (Job &job : this->jobs) {
        if (!job.isAdmitted || !job.isPrefilled || job.isWaitingForParts)
            continue;
        result.events.push_back(job.stream);
        if (--job.events == 0)
            result.finished.push_back(job.stream);
    }
    std::erase_if(this->jobs, [](const Job &job) {
        return (job.isHelper && job.isPrefilled) || (!job.isHelper && job.events <= 0);
    });
    return result;
}

double EnginePassModel::prefillChunk(std::int64_t budget,
                                     std::vector<std::int64_t> &prefilledStreams)
{
    double spent = 0;
    while (budget > 0) {
        Job *next = nullptr;
        for (Job &job : this->jobs) {
            if (job.isPrefilled || (!job.isHelper && !job.isAdmitted))
                continue;
            if (!next || (job.isSplit && !next->isSplit))
                next = &job;
        }
        if (!next)
            break;
        const std::int64_t tokens = std::min(budget, next->prefillTokens - next->prefilledTokens);
        const double whole = static_cast<double>(next->promptTokens);
        // A split part bears an equal share of the token pairs of the whole prompt, wherever it
        // lies.
        const double earlier = next->isSplit
            ? whole / 2.0
            : static_cast<double>(next->prefilledTokens) + static_cast<double>(tokens) / 2.0;
        spent += static_cast<double>(tokens) / this->timing.prefillTokensPerMs
            + static_cast<double>(tokens) * earlier / 1e6 * this->timing.prefillMsPerMillionPairs;
        next->prefilledTokens += tokens;
        budget -= tokens;
        if (next->prefilledTokens < next->prefillTokens)
            continue;
        next->isPrefilled = true;
        prefilledStreams.push_back(next->stream);
    }
    return spent;
}

} // namespace foxtailtally

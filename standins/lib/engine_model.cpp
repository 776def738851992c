#include "standins/lib/engine_model.h"

#include <algorithm>

namespace foxtailtally {

std::int64_t EngineModel::ActiveRequest::memory() const
{
    const std::int64_t context = this->request.promptTokens + this->nextOffset;
    return std::max<std::int64_t>(0, context - this->request.tokensOnOtherEngines);
}

EngineModel::EngineModel(BackendServerId id, Incarnation incarnation, const EngineOptions &options,
                         absl::Time now)
    : id(std::move(id))
    , currentIncarnation(incarnation)
    , options(options)
    , random(options.seed)
    , cache(options.eventDelay, options.eventLoss)
    , coldSince(now)
    , nextSnapshotAt(now)
{
    this->takeSnapshots(now);
}

std::int64_t EngineModel::queued() const
{
    return static_cast<std::int64_t>(this->queue.size());
}

EngineSubmitResult EngineModel::submit(const EngineRequest &request, absl::Time now,
                                       std::vector<EngineAction> &actions)
{
    this->expireHolds(now);
    if (!this->alive) {
        return EngineSubmitResult::Dead;
    }
    if (this->find(request.id) != nullptr) {
        return EngineSubmitResult::Duplicate;
    }
    const std::int64_t context = request.promptTokens + request.maxNewTokens;
    if (context - request.tokensOnOtherEngines > this->options.memoryTokens) {
        return EngineSubmitResult::TooLong;
    }
    if (this->isWarm() && this->queued() >= this->options.queueLimit) {
        return EngineSubmitResult::Overloaded;
    }
    ActiveRequest entry;
    entry.request = request;
    entry.arrival = ++this->arrivals;
    entry.nextOffset = std::min(request.resumeOffset, request.maxNewTokens);
    entry.prefillTarget = request.promptTokens + entry.nextOffset;
    const auto imported = this->importHolds.find(request.id.str());
    if (imported != this->importHolds.end()) {
        entry.computedTokens = std::min(imported->second.tokens, entry.prefillTarget);
        this->freeHold(this->importHolds, request.id.str(), now);
    }
    this->setHeld(this->held + entry.memory(), now);
    const auto place =
        std::find_if(this->queue.begin(), this->queue.end(), [&](const ActiveRequest &other) {
            return other.request.priority > request.priority;
        });
    this->queue.insert(place, std::move(entry));
    if (this->held > this->options.memoryTokens) {
        this->die(EngineDeathCause::MemoryExceeded, now, actions);
        return EngineSubmitResult::Dead;
    }
    if (!this->isWarm() && this->running() + this->queued() > this->options.coldLimit) {
        this->die(EngineDeathCause::ColdOverload, now, actions);
        return EngineSubmitResult::Dead;
    }
    if (this->stepEnd == absl::InfiniteFuture()) {
        this->startStep(now, actions);
    }
    return this->alive ? EngineSubmitResult::Accepted : EngineSubmitResult::Dead;
}

bool EngineModel::cancel(const RequestId &request, absl::Time now)
{
    for (ActiveRequestList *list : {&this->queue, &this->batch}) {
        const auto found =
            std::find_if(list->begin(), list->end(),
                         [&](const ActiveRequest &entry) { return entry.request.id == request; });
        if (found == list->end()) {
            continue;
        }
        if (this->prefilling == &*found) {
            this->prefilling = nullptr;
        }
        this->setHeld(this->held - found->memory(), now);
        list->erase(found);
        return true;
    }
    return false;
}

void EngineModel::setTokensOnOtherEngines(const RequestId &request, std::int64_t tokens,
                                          absl::Time now, std::vector<EngineAction> &actions)
{
    ActiveRequest *entry = this->find(request);
    if (entry == nullptr) {
        return;
    }
    const std::int64_t before = entry->memory();
    const std::int64_t context = entry->request.promptTokens + entry->request.maxNewTokens;
    if (context - tokens > this->options.memoryTokens) {
        this->cancel(request, now);
        actions.emplace_back(RequestAborted {request, now});
        return;
    }
    entry->request.tokensOnOtherEngines = tokens;
    this->setHeld(this->held + entry->memory() - before, now);
    if (this->held > this->options.memoryTokens) {
        this->die(EngineDeathCause::MemoryExceeded, now, actions);
    }
}

void EngineModel::advance(absl::Time now, std::vector<EngineAction> &actions)
{
    while (this->alive && this->stepEnd <= now) {
        const absl::Time end = this->stepEnd;
        this->takeSnapshots(end);
        this->expireHolds(end);
        this->endStep(actions);
        if (this->alive) {
            this->startStep(end, actions);
        }
    }
    this->takeSnapshots(now);
    this->expireHolds(now);
}

absl::Time EngineModel::nextEventAt() const
{
    return this->alive ? this->stepEnd : absl::InfiniteFuture();
}

void EngineModel::startStep(absl::Time now, std::vector<EngineAction> &actions)
{
    this->stepEnd = absl::InfiniteFuture();
    this->prefilling = nullptr;
    this->chunkTokens = 0;
    this->admitQueued(now);
    if (this->batch.empty()) {
        return;
    }
    for (ActiveRequest &entry : this->batch) {
        if (entry.request.poisonous) {
            this->die(EngineDeathCause::PoisonousPrompt, now, actions);
            return;
        }
        const bool isFirst = this->prefilling == nullptr
            || std::pair(entry.request.priority, entry.arrival)
                < std::pair(this->prefilling->request.priority, this->prefilling->arrival);
        if (entry.isPrefilling() && isFirst) {
            this->prefilling = &entry;
        }
    }
    if (this->prefilling != nullptr) {
        this->chunkTokens =
            std::min(this->options.prefillChunkTokens,
                     this->prefilling->prefillTarget - this->prefilling->computedTokens);
    }
    this->stepEnd = now + this->stepDuration();
}

void EngineModel::admitQueued(absl::Time /*now*/)
{
    while (!this->queue.empty() && this->running() < this->options.warmLimit) {
        this->batch.splice(this->batch.end(), this->queue, this->queue.begin());
        ActiveRequest &entry = this->batch.back();
        const std::int64_t cached =
            this->cache.match(entry.request.prefixBlocks) * kPrefixBlockTokens;
        entry.cachedTokens = std::min(cached, entry.request.promptTokens);
        // The last token of a prompt is always computed, since its result is the first new token.
        entry.computedTokens =
            std::max(entry.computedTokens, std::min(entry.cachedTokens, entry.prefillTarget - 1));
    }
}

absl::Duration EngineModel::stepDuration() const
{
    std::int64_t context = 0;
    for (const ActiveRequest &entry : this->batch) {
        context += entry.isPrefilling() ? entry.computedTokens
                                        : entry.request.promptTokens + entry.nextOffset;
    }
    absl::Duration duration = this->options.stepTime
        + this->options.stepTimePerRequest * this->running()
        + this->options.stepTimePerThousandTokens * (static_cast<double>(context) / 1000.0);
    if (this->prefilling != nullptr) {
        const double growth = 1.0
            + static_cast<double>(this->prefilling->computedTokens)
                / static_cast<double>(this->options.prefillDoublingTokens);
        duration += absl::Seconds(static_cast<double>(this->chunkTokens) * growth
                                  / this->options.prefillRate);
    }
    const double slowdown = this->isWarm() ? 1.0 : this->options.coldSlowdown;
    // A step of zero duration would make advance() loop forever.
    return std::max(duration * (slowdown / this->options.speed), absl::Nanoseconds(1));
}

void EngineModel::endStep(std::vector<EngineAction> &actions)
{
    const absl::Time at = this->stepEnd;
    ActiveRequest *completed = nullptr;
    if (this->prefilling != nullptr) {
        this->prefilling->computedTokens += this->chunkTokens;
        completed = this->prefilling->isPrefilling() ? nullptr : this->prefilling;
    }
    if (completed != nullptr) {
        const std::int64_t free = this->options.memoryTokens - this->held;
        this->cache.store(completed->request.prefixBlocks,
                          std::clamp<std::int64_t>(free, 0, this->options.cacheTokens)
                              / kPrefixBlockTokens,
                          at, this->random);
    }
    for (auto entry = this->batch.begin(); entry != this->batch.end();) {
        if (entry->isPrefilling() || !this->produceToken(*entry, at, actions)) {
            ++entry;
            continue;
        }
        this->setHeld(this->held - entry->memory(), at);
        entry = this->batch.erase(entry);
        ++this->served;
    }
    this->prefilling = nullptr;
    if (this->held > this->options.memoryTokens) {
        this->die(EngineDeathCause::MemoryExceeded, at, actions);
    }
}

/** Returns whether the answer to @p entry is complete. */
bool EngineModel::produceToken(ActiveRequest &entry, absl::Time at,
                               std::vector<EngineAction> &actions)
{
    if (entry.nextOffset < entry.request.maxNewTokens) {
        if (this->options.reportsEveryToken || !entry.isReported) {
            actions.emplace_back(TokenProduced {entry.request.id, entry.nextOffset, at});
            entry.isReported = true;
        }
        const std::int64_t before = entry.memory();
        ++entry.nextOffset;
        this->setHeld(this->held + entry.memory() - before, at);
    }
    if (entry.nextOffset < entry.request.maxNewTokens) {
        return false;
    }
    actions.emplace_back(
        RequestFinished {entry.request.id, entry.nextOffset, entry.cachedTokens, at});
    return true;
}

void EngineModel::die(EngineDeathCause cause, absl::Time at, std::vector<EngineAction> &actions)
{
    EngineDied death {cause, at, at - this->coldSince, {}};
    for (const ActiveRequestList *list : {&this->batch, &this->queue}) {
        for (const ActiveRequest &entry : *list) {
            death.requests.push_back(entry.request.id);
        }
    }
    this->alive = false;
    this->queue.clear();
    this->batch.clear();
    this->prefilling = nullptr;
    this->stepEnd = absl::InfiniteFuture();
    this->reservationHolds.clear();
    this->exportHolds.clear();
    this->importHolds.clear();
    this->held = 0;
    actions.emplace_back(std::move(death));
}

void EngineModel::kill(absl::Time now, std::vector<EngineAction> &actions)
{
    if (this->alive) {
        this->die(EngineDeathCause::Killed, now, actions);
    }
}

void EngineModel::turnCold(absl::Time now)
{
    this->served = 0;
    this->coldSince = now;
    this->cache.clear();
}

void EngineModel::restart(absl::Time now)
{
    if (this->alive) {
        return;
    }
    this->alive = true;
    ++this->currentIncarnation;
    this->cache = PrefixCache(this->options.eventDelay, this->options.eventLoss);
    this->turnCold(now);
    this->highestFence = 0;
    this->versions.clear();
    this->snapshots.clear();
    this->nextSnapshotAt = now;
    this->reportSequence = 0;
    this->takeSnapshots(now);
}

EngineModel::ActiveRequest *EngineModel::find(const RequestId &request)
{
    for (ActiveRequestList *list : {&this->batch, &this->queue}) {
        for (ActiveRequest &entry : *list) {
            if (entry.request.id == request) {
                return &entry;
            }
        }
    }
    return nullptr;
}

void EngineModel::setHeld(std::int64_t tokens, absl::Time now)
{
    this->held = tokens;
    const std::int64_t free = std::max<std::int64_t>(this->options.memoryTokens - tokens, 0);
    this->cache.shrink(std::min(free, this->options.cacheTokens) / kPrefixBlockTokens, now,
                       this->random);
}

} // namespace foxtailtally

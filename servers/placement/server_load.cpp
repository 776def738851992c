#include "servers/placement/server_load.h"

#include "servers/placement/prefill_cost.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Share of a prefill's planned time that is assumed to remain once that time is over. */
constexpr double kOverdueShare = 0.15;

} // namespace

void PrefillBacklog::add(double prefillMs, absl::Time since)
{
    if (prefillMs <= 0)
        return;
    if (since < this->oldestSince) {
        this->queuedMs += this->oldestMs;
        this->oldestMs = prefillMs;
        this->oldestSince = since;
        return;
    }
    this->queuedMs += prefillMs;
}

void PrefillBacklog::merge(const PrefillBacklog &other)
{
    this->add(other.oldestMs, other.oldestSince);
    this->queuedMs += other.queuedMs;
}

double PrefillBacklog::leftMs(absl::Time now) const
{
    if (this->isEmpty())
        return 0;
    const double elapsed = std::max(0.0, absl::ToDoubleMilliseconds(now - this->oldestSince));
    return this->queuedMs + std::max(kOverdueShare * this->oldestMs, this->oldestMs - elapsed);
}

void ServerLoad::add(const StreamPart &part, absl::Time now)
{
    this->memoryTokens += part.memoryTokens;
    const bool isDeferred = part.isDeferred && !part.isDecoding && !part.isHelper;
    if (!part.isDecoding) {
        PrefillBacklog &whole = isDeferred ? this->deferredPrefills : this->wholePrefills;
        (part.isSplit ? this->splitPrefills : whole).add(part.prefillMs, part.placedAt);
    }
    if (part.isHelper)
        return;
    this->deferredStreams += isDeferred ? 1 : 0;
    this->deferredMemoryTokens += isDeferred ? part.memoryTokens : 0;
    const bool isShort = part.prefillMs < kShortPrefillMs;
    const bool isArrival = now - part.placedAt < kArrivalWindow;
    this->streams += 1;
    this->decodingStreams += part.isDecoding ? 1 : 0;
    this->shortStreams += isShort ? 1 : 0;
    this->arrivals += isArrival ? 1 : 0;
    this->shortArrivals += isShort && isArrival ? 1 : 0;
    if (part.isLate)
        return;
    if (part.isDecoding)
        this->addEventGapRisk({part.eventGapObjectiveMs, part.value});
    else
        this->addFirstEventRisk(
            {part.placedAt + absl::Milliseconds(part.firstEventDueMs), part.value});
}

void ServerLoad::merge(const ServerLoad &other)
{
    this->streams += other.streams;
    this->decodingStreams += other.decodingStreams;
    this->shortStreams += other.shortStreams;
    this->arrivals += other.arrivals;
    this->shortArrivals += other.shortArrivals;
    this->memoryTokens += other.memoryTokens;
    this->deferredStreams += other.deferredStreams;
    this->deferredMemoryTokens += other.deferredMemoryTokens;
    this->splitPrefills.merge(other.splitPrefills);
    this->wholePrefills.merge(other.wholePrefills);
    this->deferredPrefills.merge(other.deferredPrefills);
    for (const EventGapRisk &risk : other.eventGapRisks)
        this->addEventGapRisk(risk);
    for (const FirstEventRisk &risk : other.firstEventRisks)
        this->addFirstEventRisk(risk);
}

void ServerLoad::updateTimeLeft(absl::Time now)
{
    this->splitPrefillLeftMs = this->splitPrefills.leftMs(now);
    this->deferredPrefillLeftMs = this->deferredPrefills.leftMs(now);
    this->prefillLeftMs =
        this->splitPrefillLeftMs + this->wholePrefills.leftMs(now) + this->deferredPrefillLeftMs;
}

bool ServerLoad::isIdle() const
{
    return this->streams == 0 && this->memoryTokens == 0 && this->splitPrefills.isEmpty()
        && this->wholePrefills.isEmpty() && this->deferredPrefills.isEmpty();
}

ServerLoad ServerLoad::withoutQueuedDeferred(std::int64_t slots) const
{
    ServerLoad result = *this;
    const std::int64_t queued =
        std::clamp<std::int64_t>(this->streams - slots, 0, this->deferredStreams);
    if (queued == 0)
        return result;
    const double share = static_cast<double>(queued) / static_cast<double>(this->deferredStreams);
    result.streams -= queued;
    result.memoryTokens -=
        static_cast<std::int64_t>(share * static_cast<double>(this->deferredMemoryTokens));
    result.prefillLeftMs -= share * this->deferredPrefillLeftMs;
    result.deferredPrefillLeftMs -= share * this->deferredPrefillLeftMs;
    return result;
}

void ServerLoad::addEventGapRisk(const EventGapRisk &risk)
{
    const auto same = std::find_if(
        this->eventGapRisks.begin(), this->eventGapRisks.end(),
        [&risk](const EventGapRisk &known) { return known.objectiveMs == risk.objectiveMs; });
    if (same != this->eventGapRisks.end())
        same->value += risk.value;
    else if (this->eventGapRisks.size() < kMaxRisks)
        this->eventGapRisks.push_back(risk);
}

void ServerLoad::addFirstEventRisk(const FirstEventRisk &risk)
{
    if (this->firstEventRisks.size() < kMaxRisks) {
        this->firstEventRisks.push_back(risk);
        return;
    }
    const auto least = std::min_element(
        this->firstEventRisks.begin(), this->firstEventRisks.end(),
        [](const FirstEventRisk &a, const FirstEventRisk &b) { return a.value < b.value; });
    if (least->value < risk.value)
        *least = risk;
}

} // namespace foxtailtally

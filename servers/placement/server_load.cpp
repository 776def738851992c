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
    if (!part.isDecoding)
        (part.isSplit ? this->splitPrefills : this->wholePrefills)
            .add(part.prefillMs, part.placedAt);
    if (part.isHelper)
        return;
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
    this->splitPrefills.merge(other.splitPrefills);
    this->wholePrefills.merge(other.wholePrefills);
    for (const EventGapRisk &risk : other.eventGapRisks)
        this->addEventGapRisk(risk);
    for (const FirstEventRisk &risk : other.firstEventRisks)
        this->addFirstEventRisk(risk);
}

void ServerLoad::updateTimeLeft(absl::Time now)
{
    this->splitPrefillLeftMs = this->splitPrefills.leftMs(now);
    this->prefillLeftMs = this->splitPrefillLeftMs + this->wholePrefills.leftMs(now);
}

bool ServerLoad::isIdle() const
{
    return this->streams == 0 && this->memoryTokens == 0 && this->splitPrefills.isEmpty()
        && this->wholePrefills.isEmpty();
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

#include "servers/placement/server_load.h"

#include "servers/placement/read_cost.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Share of a read's planned time that is assumed to be left once the plan is over. */
constexpr double kOverdueShare = 0.15;

} // namespace

void ReadBacklog::add(double readMs, absl::Time since)
{
    if (readMs <= 0)
        return;
    if (since < this->oldestSince) {
        this->behindMs += this->oldestMs;
        this->oldestMs = readMs;
        this->oldestSince = since;
        return;
    }
    this->behindMs += readMs;
}

void ReadBacklog::merge(const ReadBacklog &other)
{
    this->add(other.oldestMs, other.oldestSince);
    this->behindMs += other.behindMs;
}

double ReadBacklog::leftMs(absl::Time now) const
{
    if (this->isEmpty())
        return 0;
    const double elapsed = std::max(0.0, absl::ToDoubleMilliseconds(now - this->oldestSince));
    return this->behindMs + std::max(kOverdueShare * this->oldestMs, this->oldestMs - elapsed);
}

void ServerLoad::add(const StreamPart &part, absl::Time now)
{
    this->memoryTokens += part.memoryTokens;
    if (!part.isWriting)
        (part.isSplit ? this->splitReads : this->wholeReads).add(part.readMs, part.placedAt);
    if (part.isHelper)
        return;
    const bool isShort = part.readMs < kShortReadMs;
    const bool isArrival = now - part.placedAt < kArrivalTime;
    this->streams += 1;
    this->writers += part.isWriting ? 1 : 0;
    this->shortStreams += isShort ? 1 : 0;
    this->arrivals += isArrival ? 1 : 0;
    this->shortArrivals += isShort && isArrival ? 1 : 0;
    if (part.isLate)
        return;
    if (part.isWriting)
        this->addPauseStake({part.pauseObjectiveMs, part.value});
    else
        this->addFirstEventStake(
            {part.placedAt + absl::Milliseconds(part.firstEventDueMs), part.value});
}

void ServerLoad::merge(const ServerLoad &other)
{
    this->streams += other.streams;
    this->writers += other.writers;
    this->shortStreams += other.shortStreams;
    this->arrivals += other.arrivals;
    this->shortArrivals += other.shortArrivals;
    this->memoryTokens += other.memoryTokens;
    this->splitReads.merge(other.splitReads);
    this->wholeReads.merge(other.wholeReads);
    for (const PauseStake &stake : other.pauseStakes)
        this->addPauseStake(stake);
    for (const FirstEventStake &stake : other.firstEventStakes)
        this->addFirstEventStake(stake);
}

void ServerLoad::settle(absl::Time now)
{
    this->splitLeftMs = this->splitReads.leftMs(now);
    this->readLeftMs = this->splitLeftMs + this->wholeReads.leftMs(now);
}

bool ServerLoad::isIdle() const
{
    return this->streams == 0 && this->memoryTokens == 0 && this->splitReads.isEmpty()
        && this->wholeReads.isEmpty();
}

void ServerLoad::addPauseStake(const PauseStake &stake)
{
    const auto same = std::find_if(
        this->pauseStakes.begin(), this->pauseStakes.end(),
        [&stake](const PauseStake &known) { return known.objectiveMs == stake.objectiveMs; });
    if (same != this->pauseStakes.end())
        same->value += stake.value;
    else if (this->pauseStakes.size() < kMostStakes)
        this->pauseStakes.push_back(stake);
}

void ServerLoad::addFirstEventStake(const FirstEventStake &stake)
{
    if (this->firstEventStakes.size() < kMostStakes) {
        this->firstEventStakes.push_back(stake);
        return;
    }
    const auto least = std::min_element(
        this->firstEventStakes.begin(), this->firstEventStakes.end(),
        [](const FirstEventStake &a, const FirstEventStake &b) { return a.value < b.value; });
    if (least->value < stake.value)
        *least = stake;
}

} // namespace foxtailtally

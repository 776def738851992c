#include "servers/catalog/store_source.h"

#include "core/hash.h"

#include <algorithm>

namespace foxtailtally {

namespace {

std::size_t indexOf(StoreKind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

void StoreSource::onPeerUpdate(const InstanceId &from, const std::string &relayAddress,
                               bool hasLostStore, const KindStates &states, absl::Time now)
{
    Announcer &teller = this->tellers[from];
    teller.relayAddress = relayAddress;
    teller.hasLostStore = hasLostStore;
    teller.toldAt = now;
    for (std::size_t i = 0; i < kStoreKinds; ++i) {
        const KindState &told = states[i];
        KindState &known = teller.states[i];
        // Another life of the instance may know less than the one before.
        const bool isSame = known.contentRevision == told.contentRevision;
        known.confirmedAt =
            isSame ? std::max(known.confirmedAt, told.confirmedAt) : told.confirmedAt;
        known.contentRevision = told.contentRevision;
    }
}

void StoreSource::onFetchFailed(const std::string &address, absl::Time now)
{
    for (auto &[instance, teller] : this->tellers) {
        if (teller.relayAddress == address)
            teller.fetchFailedAt = now;
    }
}

void StoreSource::onStoreFailed(absl::Time now)
{
    this->storeFailures += now - this->storeFailedAt < kFailureMergeWindow ? 0 : 1;
    this->storeFailedAt = now;
}

bool StoreSource::isStoreLost(absl::Time now) const
{
    return this->storeFailures >= kFailuresUntilLost
        && now - this->storeFailedAt < kStoreLostPeriod;
}

StoreSource::Step StoreSource::next(StoreKind kind, absl::Time now)
{
    this->startedAt = std::min(this->startedAt, now);
    const KindState &own = this->held[indexOf(kind)];
    const Announcer *newest = nullptr;
    for (const auto &[instance, teller] : this->tellers) {
        const KindState &told = teller.states[indexOf(kind)];
        const bool isUsable = now - teller.toldAt < kAnnouncementLifetime
            && now - teller.fetchFailedAt >= kFetchFailureBackoff
            && told.contentRevision > own.currentRevision;
        if (!isUsable)
            continue;
        if (!newest || told.contentRevision > newest->states[indexOf(kind)].contentRevision)
            newest = &teller;
    }
    if (newest)
        return {Action::Fetch, newest->relayAddress, absl::ZeroDuration()};
    if (!this->mayReadStore(kind, now))
        return {};
    // A store that failed is asked for an answer at once, so that its silence is noticed sooner.
    const bool isTrial = this->storeFailures > 0;
    return {Action::ReadStore, {}, isTrial ? absl::ZeroDuration() : watchTime(kind)};
}

absl::Time StoreSource::confirmedByOthers(StoreKind kind) const
{
    absl::Time latest = absl::InfinitePast();
    for (const auto &[instance, teller] : this->tellers) {
        const KindState &told = teller.states[indexOf(kind)];
        // An instance that knows of later changes says nothing about what is held here.
        const bool isCovered = told.contentRevision >= 0
            && told.contentRevision <= this->held[indexOf(kind)].currentRevision;
        if (isCovered)
            latest = std::max(latest, told.confirmedAt);
    }
    return latest;
}

bool StoreSource::mayReadStore(StoreKind kind, absl::Time now)
{
    if (this->storeFailures > 0) {
        if (now - this->storeFailedAt < this->retryPause())
            return false;
    }
    const std::size_t position = this->position(now);
    const bool follows = this->place.aggregator.has_value();
    if (follows && position > kMaxStoreReaders)
        return false;
    if (position > 0) {
        const auto later = static_cast<std::int64_t>(position - 1);
        const bool isKnown = this->held[indexOf(kind)].currentRevision >= 0;
        const absl::Duration patience = isKnown
            ? watchTime(kind) + kTakeoverDelay + kTakeoverDelayStep * later
            : kStartupTakeoverDelay + kStartupTakeoverDelayStep * later;
        const absl::Time freshAt = std::max(this->startedAt, this->confirmedByOthers(kind));
        if (now - freshAt <= patience)
            return false;
    }
    return this->storeFailures == 0 || this->mayTryStore(now);
}

absl::Duration StoreSource::watchTime(StoreKind kind)
{
    switch (kind) {
    case StoreKind::Config:
    case StoreKind::Servers:
    case StoreKind::Evacuations:
        return kWatchTime;
    case StoreKind::Deaths:
        return kDeathWatchTime;
    case StoreKind::Instances:
        return kInstanceWatchTime;
    }
    return kWatchTime;
}

std::size_t StoreSource::position(absl::Time now) const
{
    if (!this->place.aggregator)
        return this->aggregatorPosition(now);
    const std::uint64_t spread =
        this->place.isListed ? 0 : stableHash(this->self.id.str()) % kUnlistedPositions;
    return std::max<std::size_t>(1, this->place.domains - 1 + this->place.ownRank + spread);
}

std::size_t StoreSource::aggregatorPosition(absl::Time now) const
{
    const bool isLost = this->isStoreLost(now);
    std::size_t before = 0;
    for (const InstanceRecord &other : this->place.others) {
        const bool otherLost = this->hasLost(other);
        if (otherLost != isLost)
            before += isLost ? 1 : 0;
        else
            before += ranksBefore(other, this->self) ? 1 : 0;
    }
    return before;
}

bool StoreSource::hasLost(const InstanceRecord &other) const
{
    const auto found = this->tellers.find(other.id);
    return found != this->tellers.end() && found->second.hasLostStore;
}

absl::Duration StoreSource::retryPause() const
{
    const bool follows = this->place.aggregator.has_value();
    const absl::Duration longest = follows ? kMaxFollowerRetryDelay : kMaxRetryDelay;
    absl::Duration pause = follows ? kFollowerRetryDelay : kRetryDelay;
    for (int failure = 1; failure < this->storeFailures && pause < longest; ++failure)
        pause *= 2;
    return std::min(pause, longest);
}

bool StoreSource::mayTryStore(absl::Time now)
{
    const bool isFirst = this->storeTriedAt <= this->storeFailedAt;
    const bool mayTry = isFirst || now - this->storeTriedAt >= kStoreProbeTime;
    if (mayTry)
        this->storeTriedAt = now;
    return mayTry;
}

} // namespace foxtailtally

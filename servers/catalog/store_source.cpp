#include "servers/catalog/store_source.h"

#include "core/hash.h"

#include <algorithm>
#include <tuple>

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
    Announcer &announcer = this->announcers[from];
    announcer.relayAddress = relayAddress;
    announcer.hasLostStore = hasLostStore;
    announcer.announcedAt = now;
    for (std::size_t i = 0; i < kStoreKinds; ++i) {
        const KindState &announced = states[i];
        KindState &known = announcer.states[i];
        // After a restart the instance may hold an older position than before.
        const bool isSame =
            known.content == announced.content && known.version == announced.version;
        known.confirmedAt =
            isSame ? std::max(known.confirmedAt, announced.confirmedAt) : announced.confirmedAt;
        known.content = announced.content;
        known.version = announced.version;
        if (announced.content.isKnown())
            this->onEra(announced.content.era);
    }
}

void StoreSource::onFetchFailed(StoreKind kind, const std::string &address, absl::Time now)
{
    ++this->fetchFailures[indexOf(kind)];
    for (auto &[instance, announcer] : this->announcers) {
        if (announcer.relayAddress == address)
            announcer.fetchFailedAt = now;
    }
}

void StoreSource::onStoreFailed(absl::Time now)
{
    this->lastFailureAt = now;
    this->delayNextCall(now);
}

void StoreSource::delayNextCall(absl::Time now)
{
    this->storeFailures += now - this->storeFailedAt < kFailureMergeWindow ? 0 : 1;
    this->storeFailedAt = now;
}

bool StoreSource::isStoreLost(absl::Time now) const
{
    return this->storeFailures >= kFailuresUntilLost
        && now - this->storeFailedAt < kStoreLostPeriod;
}

const StoreSource::Announcer *StoreSource::newestAnnouncer(StoreKind kind, absl::Time now) const
{
    const KindState &own = this->held[indexOf(kind)];
    const auto stateOf = [kind](const Announcer &announcer) -> const KindState & {
        return announcer.states[indexOf(kind)];
    };
    const Announcer *newest = nullptr;
    for (const auto &[instance, announcer] : this->announcers) {
        const KindState &announced = stateOf(announcer);
        const bool isReachable = now - announcer.announcedAt < kAnnouncementLifetime
            && now - announcer.fetchFailedAt >= kFetchFailureBackoff;
        // An instance that still holds the history before a restore does not lead.
        const bool isOfThisEra =
            announced.content.isKnown() && announced.content.era == this->latestEra;
        const bool isAhead = announced.content > own.current
            || (announced.version > own.version
                && now - announcer.versionFetchedAt >= kVersionFetchInterval);
        if (!isReachable || !isOfThisEra || !isAhead)
            continue;
        if (!newest
            || std::tie(announced.version, announced.content)
                > std::tie(stateOf(*newest).version, stateOf(*newest).content))
            newest = &announcer;
    }
    return newest;
}

bool StoreSource::mustFetchList(StoreKind kind, absl::Time now) const
{
    const Announcer *newest = this->newestAnnouncer(kind, now);
    return newest && newest->states[indexOf(kind)].content <= this->held[indexOf(kind)].current;
}

bool StoreSource::isVersionOvertaken(StoreKind kind, absl::Time now) const
{
    return std::any_of(this->announcers.begin(), this->announcers.end(),
                       [&](const auto &announcer) {
                           return now - announcer.second.announcedAt < kAnnouncementLifetime
                               && announcer.second.states[indexOf(kind)].version
                               > this->held[indexOf(kind)].version;
                       });
}

StoreSource::Step StoreSource::next(StoreKind kind, absl::Time now)
{
    this->startedAt = std::min(this->startedAt, now);
    int &failures = this->fetchFailures[indexOf(kind)];
    const bool cannotFetch = failures >= kFetchFailuresUntilStoreRead && this->mayCallStore(now);
    if (cannotFetch)
        failures = 0;
    const Announcer *newest = cannotFetch ? nullptr : this->newestAnnouncer(kind, now);
    if (newest)
        return this->fetchFrom(*newest, kind, now);
    if (!cannotFetch && !this->mayReadStore(kind, now))
        return {};
    // After a failure the store is read without waiting, so that a time-out is noticed sooner.
    const bool isProbe = this->storeFailures > 0;
    return {Action::ReadStore, {}, false, isProbe ? absl::ZeroDuration() : watchTime(kind)};
}

StoreSource::Step StoreSource::fetchFrom(const Announcer &announcer, StoreKind kind, absl::Time now)
{
    // Changes lead to a later position; only a list shows what is retained at the same one.
    const bool mustList =
        announcer.states[indexOf(kind)].content <= this->held[indexOf(kind)].current;
    if (mustList) {
        for (auto &[instance, known] : this->announcers) {
            if (&known == &announcer)
                known.versionFetchedAt = now;
        }
    }
    return {Action::Fetch, announcer.relayAddress, mustList, absl::ZeroDuration()};
}

absl::Time StoreSource::confirmedByOthers(StoreKind kind) const
{
    absl::Time latest = absl::InfinitePast();
    for (const auto &[instance, announcer] : this->announcers) {
        const KindState &announced = announcer.states[indexOf(kind)];
        // An instance with later changes, of another era or with another version does not confirm
        // what is held here.
        const KindState &own = this->held[indexOf(kind)];
        if (announced.content.isCoveredBy(own.current) && announced.version == own.version)
            latest = std::max(latest, announced.confirmedAt);
    }
    return latest;
}

bool StoreSource::mayReadStore(StoreKind kind, absl::Time now)
{
    const std::size_t position = this->position(now);
    const bool follows = this->topology.aggregator.has_value();
    if (follows && position > kMaxStoreReaders)
        return false;
    if (position > 0) {
        const auto later = static_cast<std::int64_t>(position - 1);
        const bool isKnown = this->held[indexOf(kind)].current.isKnown();
        const absl::Duration takeoverDelay = isKnown
            ? watchTime(kind) + kTakeoverDelay + kTakeoverDelayStep * later
            : kStartupTakeoverDelay + kStartupTakeoverDelayStep * later;
        const absl::Time freshAt = std::max(this->startedAt, this->confirmedByOthers(kind));
        if (now - freshAt <= takeoverDelay)
            return false;
    }
    return this->mayCallStore(now);
}

bool StoreSource::mayCallStore(absl::Time now)
{
    if (this->storeFailures == 0)
        return true;
    return now - this->storeFailedAt >= this->retryDelay() && this->mayProbeStore(now);
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
    if (!this->topology.aggregator)
        return this->aggregatorPosition(now);
    const std::uint64_t spread =
        this->topology.isListed ? 0 : stableHash(this->self.id.str()) % kUnlistedPositions;
    return std::max<std::size_t>(1, this->topology.domains - 1 + this->topology.ownRank + spread);
}

std::size_t StoreSource::aggregatorPosition(absl::Time now) const
{
    const bool isLost = this->isStoreLost(now);
    std::size_t before = 0;
    for (const InstanceRecord &other : this->topology.others) {
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
    const auto found = this->announcers.find(other.id);
    return found != this->announcers.end() && found->second.hasLostStore;
}

absl::Duration StoreSource::retryDelay() const
{
    const bool follows = this->topology.aggregator.has_value();
    const absl::Duration maxDelay = follows ? kMaxFollowerRetryDelay : kMaxRetryDelay;
    absl::Duration delay = follows ? kFollowerRetryDelay : kRetryDelay;
    for (int failure = 1; failure < this->storeFailures && delay < maxDelay; ++failure)
        delay *= 2;
    return std::min(delay, maxDelay);
}

bool StoreSource::mayProbeStore(absl::Time now)
{
    const bool isFirst = this->storeProbedAt <= this->storeFailedAt;
    const bool mayProbe = isFirst || now - this->storeProbedAt >= kStoreProbeTime;
    if (mayProbe)
        this->storeProbedAt = now;
    return mayProbe;
}

} // namespace foxtailtally

#include "servers/catalog/store_source.h"

#include "core/hash.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace foxtailtally {

namespace {

/** Key under which instances are ranked; the same at all of them. */
constexpr std::string_view kRankingKey = "store-watchers";

} // namespace

StoreSource::Ranked StoreSource::ranked(const StoreReader &reader)
{
    return {reader, rendezvousWeight(kRankingKey, reader.id.str())};
}

void StoreSource::setPeer(const StoreReader &peer, absl::Time now)
{
    if (peer.id == this->self.reader.id || peer.domain != this->self.reader.domain)
        return;
    Peer &known = this->peers[peer.id];
    known.ranked = ranked(peer);
    known.heardAt = now;
}

void StoreSource::removePeer(const InstanceId &instance)
{
    this->peers.erase(instance);
}

void StoreSource::onHeard(const InstanceId &instance, bool hasLostStore, absl::Time now)
{
    const auto found = this->peers.find(instance);
    if (found == this->peers.end())
        return;
    found->second.heardAt = now;
    found->second.hasLostStore = hasLostStore;
}

void StoreSource::onFailed(const std::string &address, absl::Time now)
{
    if (address == this->storeAddress) {
        this->storeFailures += now - this->storeFailedAt < kSameFailure ? 0 : 1;
        this->storeFailedAt = now;
    }
    for (auto &[instance, peer] : this->peers) {
        if (peer.ranked.reader.relayAddress == address)
            peer.failedAt = now;
    }
}

void StoreSource::onAnswered(const std::string &address)
{
    if (address == this->storeAddress)
        this->storeFailures = 0;
}

absl::Duration StoreSource::storeFailureTerm() const
{
    absl::Duration term = kStoreFailureTerm;
    for (int failure = 1; failure < this->storeFailures && term < kLongestStoreFailureTerm;
         ++failure)
        term *= 2;
    return std::min(term, kLongestStoreFailureTerm);
}

StoreSource::Choice StoreSource::choose(absl::Time now)
{
    std::vector<const Ranked *> live;
    std::vector<const Ranked *> reading;
    std::vector<const Ranked *> sound;
    std::size_t failed = 0;
    for (const auto &[instance, peer] : this->peers) {
        const bool hasFailed = now - peer.failedAt < kFailureTerm;
        failed += hasFailed ? 1 : 0;
        if (now - peer.heardAt >= kSilence)
            continue;
        live.push_back(&peer.ranked);
        if (peer.hasLostStore)
            continue;
        reading.push_back(&peer.ranked);
        if (!hasFailed)
            sound.push_back(&peer.ranked);
    }
    if (live.empty())
        return {this->storeAddress, true};
    const bool isStoreDue = now - this->storeFailedAt >= this->storeFailureTerm();
    if (!this->isStoreLost()) {
        sound.push_back(&this->self);
        if (failed <= kMostFailed)
            return this->chooseAmong(sound);
    }
    if (isStoreDue && this->mayTryStore(now))
        return {this->storeAddress, true};
    if (!sound.empty())
        return this->chooseAmong(sound);
    // An instance that failed lately may have recovered; one that has lost the store has no news.
    return this->chooseAmong(reading.empty() ? live : reading);
}

bool StoreSource::mayTryStore(absl::Time now)
{
    const bool isFirst = this->storeTriedAt <= this->storeFailedAt;
    if (isFirst)
        this->storeTriedAt = now;
    return isFirst || now - this->storeTriedAt >= kStoreTrial;
}

StoreSource::Choice StoreSource::chooseAmong(std::span<const Ranked *> readers) const
{
    std::sort(readers.begin(), readers.end(), [](const Ranked *a, const Ranked *b) {
        if (a->reader.capacity != b->reader.capacity)
            return a->reader.capacity > b->reader.capacity;
        return a->weight > b->weight;
    });
    const std::size_t watchers = 1 + readers.size() / kFollowersForEachWatcher;
    const auto own = std::find(readers.begin(), readers.end(), &this->self);
    const auto rank = static_cast<std::size_t>(own - readers.begin());
    if (own != readers.end() && rank < watchers)
        return {this->storeAddress, true};
    // Followers spread over the watchers by their own rank.
    return {readers[rank % std::min(watchers, readers.size())]->reader.relayAddress, false};
}

} // namespace foxtailtally

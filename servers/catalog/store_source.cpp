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
    return {&reader, rendezvousWeight(kRankingKey, reader.id.str())};
}

bool StoreSource::ranksBefore(const Ranked &a, const Ranked &b)
{
    if (a.reader->capacity != b.reader->capacity)
        return a.reader->capacity > b.reader->capacity;
    return a.weight > b.weight;
}

void StoreSource::setPeer(const StoreReader &peer, absl::Time now)
{
    if (peer.id == this->self.id || peer.domain != this->self.domain)
        return;
    Peer &known = this->peers[peer.id];
    known.reader = peer;
    known.heardAt = now;
}

void StoreSource::removePeer(const InstanceId &instance)
{
    this->peers.erase(instance);
}

void StoreSource::onHeard(const InstanceId &instance, absl::Time now)
{
    const auto found = this->peers.find(instance);
    if (found != this->peers.end())
        found->second.heardAt = now;
}

void StoreSource::onFailed(const std::string &address, absl::Time now)
{
    if (address == this->storeAddress)
        this->storeFailedAt = now;
    for (auto &[instance, peer] : this->peers) {
        if (peer.reader.relayAddress == address)
            peer.failedAt = now;
    }
}

StoreSource::Choice StoreSource::choose(absl::Time now)
{
    std::vector<Ranked> sound = {ranked(this->self)};
    std::vector<Ranked> live = sound;
    std::size_t failed = 0;
    for (const auto &[instance, peer] : this->peers) {
        const bool hasFailed = now - peer.failedAt < kFailureTerm;
        failed += hasFailed ? 1 : 0;
        if (now - peer.heardAt >= kSilence)
            continue;
        live.push_back(ranked(peer.reader));
        if (!hasFailed)
            sound.push_back(ranked(peer.reader));
    }
    if (failed <= kMostFailed)
        return this->chooseAmong(sound);
    if (now - this->storeFailedAt < kStoreFailureTerm)
        return this->chooseAmong(live);
    const bool isFirst = this->storeTriedAt <= this->storeFailedAt;
    if (isFirst)
        this->storeTriedAt = now;
    if (isFirst || now - this->storeTriedAt >= kStoreTrial)
        return {this->storeAddress, true};
    return this->chooseAmong(live);
}

StoreSource::Choice StoreSource::chooseAmong(std::span<Ranked> live) const
{
    std::sort(live.begin(), live.end(), ranksBefore);
    const std::size_t watchers = 1 + live.size() / kFollowersForEachWatcher;
    const auto own = std::find_if(live.begin(), live.end(), [this](const Ranked &candidate) {
        return candidate.reader == &this->self;
    });
    const auto rank = static_cast<std::size_t>(own - live.begin());
    if (rank < watchers)
        return {this->storeAddress, true};
    // Followers spread over the watchers by their own rank.
    return {live[rank % watchers].reader->relayAddress, false};
}

} // namespace foxtailtally

#include "servers/catalog/store_source.h"

#include "core/hash.h"

#include <algorithm>
#include <vector>

namespace foxtailtally {

namespace {

/** Key under which instances are ranked; the same at all of them. */
constexpr std::string_view kRankingKey = "store-watchers";

} // namespace

void StoreSource::setPeer(const InstanceId &instance, const FailureDomainId &peerDomain,
                          const std::string &relayAddress)
{
    if (instance == this->self || peerDomain != this->domain)
        return;
    this->peers[instance].relayAddress = relayAddress;
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
    if (address != this->storeAddress)
        this->failedAt = now;
}

StoreSource::Choice StoreSource::choose(absl::Time now) const
{
    // Another follower might lead back to the source that failed, and time for news is short.
    if (now - this->failedAt < kFailureTerm)
        return {this->storeAddress, true};
    struct Ranked
    {
        std::uint64_t weight = 0;
        const std::string *address = nullptr;
    };
    std::vector<Ranked> live = {{rendezvousWeight(kRankingKey, this->self.str()), nullptr}};
    for (const auto &[instance, peer] : this->peers) {
        if (now - peer.heardAt < kSilence)
            live.push_back({rendezvousWeight(kRankingKey, instance.str()), &peer.relayAddress});
    }
    std::sort(live.begin(), live.end(),
              [](const Ranked &a, const Ranked &b) { return a.weight > b.weight; });
    const std::size_t watchers = 1 + live.size() / kFollowersForEachWatcher;
    const auto own = std::find_if(live.begin(), live.end(),
                                  [](const Ranked &ranked) { return ranked.address == nullptr; });
    const auto rank = static_cast<std::size_t>(own - live.begin());
    if (rank < watchers)
        return {this->storeAddress, true};
    // Followers spread over the watchers by their own rank.
    return {*live[rank % watchers].address, false};
}

} // namespace foxtailtally

#pragma once

#include "core/ids.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <string>

namespace foxtailtally {

/**
 * Where this instance reads the store's objects. Each call to the store has its price, so only a
 * few instances of a failure domain watch the store itself; the others watch one of these. All
 * instances rank the live ones of their domain alike, without asking; where their views differ, an
 * instance is asked that follows another one, and what it tells is only older.
 */
class StoreSource
{
public:
    /** An instance that was not heard of for this long is not asked. */
    static constexpr absl::Duration kSilence = absl::Seconds(2);
    /** Time for which the store itself is asked after another instance failed to tell. */
    static constexpr absl::Duration kFailureTerm = absl::Seconds(4);
    /** Instances of a domain for each one that watches the store, beyond the first. */
    static constexpr std::size_t kFollowersForEachWatcher = 24;

    struct Choice
    {
        std::string address;
        bool isStore = true;
    };

    StoreSource(InstanceId self, FailureDomainId domain, std::string storeAddress)
        : self(std::move(self))
        , domain(std::move(domain))
        , storeAddress(std::move(storeAddress))
    { }

    /** @p relayAddress: where @p instance tells what it knows of the store. */
    void setPeer(const InstanceId &instance, const FailureDomainId &peerDomain,
                 const std::string &relayAddress);
    void removePeer(const InstanceId &instance);
    void onHeard(const InstanceId &instance, absl::Time now);
    void onFailed(const std::string &address, absl::Time now);

    Choice choose(absl::Time now) const;

private:
    struct Peer
    {
        std::string relayAddress;
        absl::Time heardAt = absl::InfinitePast();
    };

    InstanceId self;
    FailureDomainId domain;
    std::string storeAddress;
    absl::flat_hash_map<InstanceId, Peer> peers;
    absl::Time failedAt = absl::InfinitePast();
};

} // namespace foxtailtally

#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <span>
#include <string>

namespace foxtailtally {

/** An instance of this system as one that can tell others what the store holds. */
struct StoreReader
{
    InstanceId id;
    FailureDomainId domain;
    /** "ip:port" where it tells. */
    std::string relayAddress;
    /** Megabits a second of its link, times its processor cores: a configuration of some hundred
     * routes goes to all followers at once. */
    double capacity = 0;

    bool operator==(const StoreReader &) const = default;
};

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
    /** Time for which an instance that failed to tell is not asked again. */
    static constexpr absl::Duration kFailureTerm = absl::Seconds(4);
    /** Instances that may fail to tell within kFailureTerm before the store itself is asked; news
     * have two seconds to arrive, and finding a silent instance takes most of one. */
    static constexpr std::size_t kMostFailed = 1;
    /** Failures in a row after which the store counts as lost; one watch that is cut off says
     * little.
     */
    static constexpr int kFailuresToLose = 2;
    /** Failures within this time are one: all kinds of object fail together. */
    static constexpr absl::Duration kSameFailure = absl::Milliseconds(100);
    /** Time for which the store is left alone that failed to answer while others may tell, doubled
     * with each further failure up to the second value. A configuration has two seconds to be in
     * force, from its acknowledgement by a store that has just recovered. */
    static constexpr absl::Duration kStoreFailureTerm = absl::Milliseconds(500);
    static constexpr absl::Duration kLongestStoreFailureTerm = absl::Seconds(1);
    /** Time for which one call alone tries whether the store answers. */
    static constexpr absl::Duration kStoreTrial = absl::Milliseconds(300);
    /** Instances of a domain for each one that watches the store, beyond the first. */
    static constexpr std::size_t kFollowersForEachWatcher = 48;

    struct Choice
    {
        std::string address;
        bool isStore = true;
    };

    StoreSource(const StoreReader &self, std::string storeAddress)
        : self(ranked(self))
        , storeAddress(std::move(storeAddress))
    { }

    /** @p peer counts as heard of for kSilence. */
    void setPeer(const StoreReader &peer, absl::Time now);
    void removePeer(const InstanceId &instance);
    /** @p hasLostStore: what isStoreLost() is there. */
    void onHeard(const InstanceId &instance, bool hasLostStore, absl::Time now);
    void onFailed(const std::string &address, absl::Time now);
    void onAnswered(const std::string &address);
    /** The store fails to answer this instance; others should not follow it. */
    bool isStoreLost() const { return this->storeFailures >= kFailuresToLose; }

    /** The source for one call that is sent now. */
    Choice choose(absl::Time now);

private:
    struct Ranked
    {
        StoreReader reader;
        /** Decides among readers of the same capacity. */
        std::uint64_t weight = 0;
    };
    struct Peer
    {
        Ranked ranked;
        absl::Time heardAt = absl::InfinitePast();
        absl::Time failedAt = absl::InfinitePast();
        bool hasLostStore = false;
    };

    /** By rank among @p readers, of which this instance may be one. */
    Choice chooseAmong(std::span<const Ranked *> readers) const;
    absl::Duration storeFailureTerm() const;
    /** Lets one call find out whether a store that failed answers again. */
    bool mayTryStore(absl::Time now);
    static Ranked ranked(const StoreReader &reader);

    Ranked self;
    std::string storeAddress;
    absl::flat_hash_map<InstanceId, Peer> peers;
    absl::Time storeFailedAt = absl::InfinitePast();
    int storeFailures = 0;
    /** When the store was first asked in place of another instance since it failed. */
    absl::Time storeTriedAt = absl::InfinitePast();
};

} // namespace foxtailtally

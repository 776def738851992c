#pragma once

#include "core/ids.h"
#include "servers/catalog/store_position.h"
#include "servers/fleet/instance_record.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** Kinds of object of which an instance keeps a copy. */
enum class StoreKind : std::uint8_t { Config, Servers, Evacuations, Deaths, Instances };

inline constexpr std::size_t kStoreKinds = 5;

/** Version of the objects of one kind that an instance holds. */
struct KindState
{
    /** Position of the last change that it holds; unknown before it has read the kind. */
    StorePosition content;
    /** Position up to which it holds all changes; not announced to other instances. */
    StorePosition current;
    /** Latest time at which this was known to be the newest version. */
    absl::Time confirmedAt = absl::InfinitePast();
    /** Version that the objects carry themselves; it may be newer than what the store shows at this
     * position. 0 for kinds without one. */
    std::int64_t version = 0;
};

using KindStates = std::array<KindState, kStoreKinds>;

/**
 * Decides from where this instance reads the store's objects. Each call to the store has a cost, so
 * normally a single instance of the fleet, the first aggregator by rank, watches the store. It
 * announces the newest revisions to the others, which fetch from it what they lack.
 *
 * No instance needs to know which one watches the store. Each judges by the age of the
 * announcements: the lower its rank, the older its copy may become before it reads the store
 * itself. So when the instance that watches is lost, or the store refuses its calls, the next one
 * takes over; and when the store answers no instance, only a few call it.
 */
class StoreSource
{
public:
    /** Time for which a watch waits for a change at the store; its response confirms that the copy
     * is the newest. */
    static constexpr absl::Duration kWatchTime = absl::Seconds(1);
    /** The same for instances; a late change of the instance list does no harm. */
    static constexpr absl::Duration kInstanceWatchTime = absl::Seconds(10);
    /** The same for deaths, which instances also report to each other immediately. */
    static constexpr absl::Duration kDeathWatchTime = absl::Seconds(3);
    /** Age of the copy, beyond the time of a watch, at which the second instance by rank reads the
     * store instead of the first, and the additional age for each further one. */
    static constexpr absl::Duration kTakeoverDelay = absl::Milliseconds(200);
    static constexpr absl::Duration kTakeoverDelayStep = absl::Milliseconds(250);
    /** The same for an instance that holds nothing yet, counted from its first call of next(). */
    static constexpr absl::Duration kStartupTakeoverDelay = absl::Milliseconds(400);
    static constexpr absl::Duration kStartupTakeoverDelayStep = absl::Milliseconds(150);
    /** Highest position at which a follower reads the store: each further reader of a store that
     * does not answer costs calls. */
    static constexpr std::size_t kMaxStoreReaders = 9;
    /** Unlisted followers are spread over this many positions. */
    static constexpr std::uint64_t kUnlistedPositions = 40;

    /** Announcements older than this are not fetched. */
    static constexpr absl::Duration kAnnouncementLifetime = absl::Seconds(1);
    /** Time for which nothing is fetched from an instance after a failed fetch. */
    static constexpr absl::Duration kFetchFailureBackoff = absl::Milliseconds(500);
    /** Time for which a newer version is not fetched again from an instance: the objects that it
     * relays may turn out not to be readable here. */
    static constexpr absl::Duration kVersionFetchInterval = absl::Milliseconds(500);
    /** Consecutive failed fetches of a kind after which the store is read, whatever the rank: other
     * instances may be heard and yet be out of reach. */
    static constexpr int kFetchFailuresUntilStoreRead = 2;

    /** Consecutive failures after which the store counts as lost; a single interrupted watch is not
     * significant. */
    static constexpr int kFailuresUntilLost = 2;
    /** Time after the last failure after which an instance that lost the store takes its rank
     * again. */
    static constexpr absl::Duration kStoreLostPeriod = absl::Seconds(4);
    /** Failures within this time count as one, because the calls for all kinds fail together. */
    static constexpr absl::Duration kFailureMergeWindow = absl::Milliseconds(100);
    /** Delay before the store is called again after a failure, doubled with each further failure up
     * to the maximum. A configuration must be in force within two seconds of its acknowledgement by
     * a store that has just recovered. Followers wait longer. */
    static constexpr absl::Duration kRetryDelay = absl::Milliseconds(250);
    static constexpr absl::Duration kMaxRetryDelay = absl::Seconds(1);
    static constexpr absl::Duration kFollowerRetryDelay = absl::Seconds(1);
    static constexpr absl::Duration kMaxFollowerRetryDelay = absl::Seconds(4);
    /** Time for which a single call probes whether the store answers again. */
    static constexpr absl::Duration kStoreProbeTime = absl::Milliseconds(300);

    enum class Action {
        /** Nothing to do until another instance announces something or time has passed. */
        Wait,
        /** Fetch the objects from another instance, which holds a later position or version. */
        Fetch,
        ReadStore,
    };
    struct Step
    {
        Action action = Action::Wait;
        /** Relay address of the instance to fetch from. */
        std::string address;
        /** The objects must be listed: no change of position leads to them. */
        bool mustList = false;
        /** Time for which a watch may wait for a change at the store. */
        absl::Duration watch = absl::ZeroDuration();
    };

    /** Position of this instance in the fleet. */
    struct Topology
    {
        /** The aggregator that this instance follows; empty when it is an aggregator itself. */
        std::optional<InstanceId> aggregator;
        /** Aggregators of the other domains that are reachable. */
        std::vector<InstanceRecord> others;
        /** Number of records of the own domain that rank before this instance. */
        std::size_t ownRank = 0;
        std::size_t domains = 1;
        /** Whether the store lists this instance. */
        bool isListed = false;
    };

    explicit StoreSource(const InstanceRecord &self)
        : self(self)
    { }

    void setTopology(Topology topology) { this->topology = std::move(topology); }

    /** Another instance announced what it holds. @p states: confirmedAt is by this instance's
     * clock. */
    void onPeerUpdate(const InstanceId &from, const std::string &relayAddress, bool hasLostStore,
                      const KindStates &states, absl::Time now);
    void forget(const InstanceId &instance) { this->announcers.erase(instance); }

    void setHeldState(StoreKind kind, const KindState &state)
    {
        this->held[static_cast<std::size_t>(kind)] = state;
        this->onEra(state.content.era);
    }
    const KindStates &states() const { return this->held; }

    void onFetchFailed(StoreKind kind, const std::string &address, absl::Time now);
    void onFetched(StoreKind kind) { this->fetchFailures[static_cast<std::size_t>(kind)] = 0; }
    void onStoreFailed(absl::Time now);
    /** The store cut off a watch. It is called again as after a failure, since it may be down. */
    void onWatchCut(absl::Time now) { this->delayNextCall(now); }
    /** Last failure of a call for any kind; cut watches are none. */
    absl::Time lastStoreFailureAt() const { return this->lastFailureAt; }
    void onStoreAnswered() { this->storeFailures = 0; }
    /** When a call to the store last failed or got no response. */
    absl::Time lastStoreFailure() const { return this->storeFailedAt; }
    /** The store does not answer this instance; others read it instead. */
    bool isStoreLost(absl::Time now) const;

    /** The store or an instance has shown that the store is in @p era. */
    void onEra(std::int64_t era) { this->latestEra = std::max(this->latestEra, era); }
    /** Latest era of the store that is known. What is held from an earlier one must be listed
     * again, and responses of an earlier one are outdated. */
    std::int64_t era() const { return this->latestEra; }

    /** What to do for @p kind now. */
    Step next(StoreKind kind, absl::Time now);
    /** Another instance holds a later position or version of @p kind, which can be fetched. */
    bool isOvertaken(StoreKind kind, absl::Time now) const
    {
        return this->newestAnnouncer(kind, now) != nullptr;
    }
    /** The same, at a position that is held already: no change of the store leads to it. */
    bool mustFetchList(StoreKind kind, absl::Time now) const;
    /** An instance has announced a newer version of @p kind than the one held here, which is
     * therefore not the newest. */
    bool isVersionOvertaken(StoreKind kind, absl::Time now) const;
    /** Latest time at which another instance confirmed that the copy of @p kind is the newest. */
    absl::Time confirmedByOthers(StoreKind kind) const;

private:
    struct Announcer
    {
        std::string relayAddress;
        bool hasLostStore = false;
        KindStates states;
        absl::Time announcedAt = absl::InfinitePast();
        absl::Time fetchFailedAt = absl::InfinitePast();
        /** When a newer version was last fetched from it. */
        absl::Time versionFetchedAt = absl::InfinitePast();
    };

    /** The instance that announces the newest version of @p kind, or the latest position of that
     * version; null if none is ahead. */
    const Announcer *newestAnnouncer(StoreKind kind, absl::Time now) const;
    Step fetchFrom(const Announcer &announcer, StoreKind kind, absl::Time now);
    /** Number of instances that read the store in preference to this one; zero for the one that
     * watches it. */
    std::size_t position(absl::Time now) const;
    std::size_t aggregatorPosition(absl::Time now) const;
    bool hasLost(const InstanceRecord &other) const;
    /** Counts a failed or interrupted call. */
    void delayNextCall(absl::Time now);
    absl::Duration retryDelay() const;
    bool mayReadStore(StoreKind kind, absl::Time now);
    /** The store has not failed lately, or may be called again after a failure. */
    bool mayCallStore(absl::Time now);
    static absl::Duration watchTime(StoreKind kind);
    /** Allows a single call that probes whether a failed store answers again. */
    bool mayProbeStore(absl::Time now);

    InstanceRecord self;
    Topology topology;
    KindStates held;
    std::array<int, kStoreKinds> fetchFailures {};
    absl::flat_hash_map<InstanceId, Announcer> announcers;
    std::int64_t latestEra = 0;
    absl::Time startedAt = absl::InfiniteFuture();
    /** Last failed or interrupted call, and the number of such calls since the last response. */
    absl::Time storeFailedAt = absl::InfinitePast();
    int storeFailures = 0;
    absl::Time lastFailureAt = absl::InfinitePast();
    /** When a call was last allowed to probe the store after a failure. */
    absl::Time storeProbedAt = absl::InfinitePast();
};

} // namespace foxtailtally

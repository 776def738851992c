#pragma once

#include "core/ids.h"
#include "servers/fleet/instance_record.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** Kinds of object that an instance keeps as the store has them. */
enum class StoreKind : std::uint8_t { Config, Servers, Evacuations, Deaths, Instances };

inline constexpr std::size_t kStoreKinds = 5;

/** What an instance holds of one kind. */
struct KindState
{
    /** Revision of the last change that it knows; -1 before it has read the kind. */
    std::int64_t contentRevision = -1;
    /** Revision up to which it knows all changes; not told to others. */
    std::int64_t currentRevision = -1;
    /** When this was known to be the newest. */
    absl::Time confirmedAt = absl::InfinitePast();
};

using KindStates = std::array<KindState, kStoreKinds>;

/**
 * Where this instance reads the store's objects. Each call to the store has its price, so in good
 * times a single instance of the whole fleet watches it, the first aggregator in order; it tells
 * the others which revision is the newest, and they fetch from it what they lack.
 *
 * Nobody needs to know who watches. Each instance judges by the age of what it is told: the later
 * it comes in the order, the older its knowledge may get before it reads the store itself. So when
 * the watcher is lost, or the store turns it away, the next in order takes over, and a store that
 * answers nobody is asked by few.
 */
class StoreSource
{
public:
    /** Time for which a watch at the store waits: its answer confirms what is known. */
    static constexpr absl::Duration kWatchTime = absl::Seconds(1);
    /** The same for instances; late news of one does no harm. */
    static constexpr absl::Duration kInstanceWatchTime = absl::Seconds(10);
    /** The same for deaths; instances tell each other of them at once. */
    static constexpr absl::Duration kDeathWatchTime = absl::Seconds(3);
    /** Age beyond that of a watch at which the second in order reads the store in place of the
     * first, and the further time for each one after it. */
    static constexpr absl::Duration kTakeoverDelay = absl::Milliseconds(200);
    static constexpr absl::Duration kTakeoverDelayStep = absl::Milliseconds(250);
    /** The same for an instance that knows nothing yet, from when it first asks. */
    static constexpr absl::Duration kStartupTakeoverDelay = absl::Milliseconds(400);
    static constexpr absl::Duration kStartupTakeoverDelayStep = absl::Milliseconds(150);
    /** Topology in the order from which on a follower leaves the store to the others; each further
     * reader of a store that answers nobody costs calls. */
    static constexpr std::size_t kMaxStoreReaders = 9;
    /** Unlisted followers are spread over this many places. */
    static constexpr std::uint64_t kUnlistedPositions = 40;

    /** What was told longer ago is not fetched any more. */
    static constexpr absl::Duration kAnnouncementLifetime = absl::Seconds(1);
    /** Time for which an instance is not asked that failed to answer a fetch. */
    static constexpr absl::Duration kFetchFailureBackoff = absl::Milliseconds(500);

    /** Failures in a row after which the store counts as lost; one watch that is cut off says
     * little. */
    static constexpr int kFailuresUntilLost = 2;
    /** Time after which an instance that lost the store takes its place in the order again. */
    static constexpr absl::Duration kStoreLostPeriod = absl::Seconds(4);
    /** Failures within this time are one: all kinds of object fail together. */
    static constexpr absl::Duration kFailureMergeWindow = absl::Milliseconds(100);
    /** Time for which the store is left alone after a failure, doubled with each further one up to
     * the second value; a configuration must be in force within two seconds of its acknowledgement
     * by a store that has just recovered. Followers leave it alone for longer. */
    static constexpr absl::Duration kRetryDelay = absl::Milliseconds(250);
    static constexpr absl::Duration kMaxRetryDelay = absl::Seconds(1);
    static constexpr absl::Duration kFollowerRetryDelay = absl::Seconds(1);
    static constexpr absl::Duration kMaxFollowerRetryDelay = absl::Seconds(4);
    /** Time for which one call alone tries whether the store answers. */
    static constexpr absl::Duration kStoreProbeTime = absl::Milliseconds(300);

    enum class Action {
        /** Nothing is to be done until something is told or time has passed. */
        Wait,
        /** Another instance knows more. */
        Fetch,
        ReadStore,
    };
    struct Step
    {
        Action action = Action::Wait;
        /** Where to fetch. */
        std::string address;
        /** Time for which a watch at the store may wait. */
        absl::Duration watch = absl::ZeroDuration();
    };

    /** This instance's part in the fleet. */
    struct Topology
    {
        /** Nothing when this instance aggregates. */
        std::optional<InstanceId> aggregator;
        /** Aggregators of the other domains, as far as they answer. */
        std::vector<InstanceRecord> others;
        /** Records of the own domain that go before this instance. */
        std::size_t ownRank = 0;
        std::size_t domains = 1;
        /** The store lists this instance. */
        bool isListed = false;
    };

    explicit StoreSource(const InstanceRecord &self)
        : self(self)
    { }

    void setTopology(Topology place) { this->place = std::move(place); }

    /** @p states: confirmedAt is by this instance's clock. */
    void onPeerUpdate(const InstanceId &from, const std::string &relayAddress, bool hasLostStore,
                      const KindStates &states, absl::Time now);
    void forget(const InstanceId &instance) { this->tellers.erase(instance); }

    void onHeld(StoreKind kind, const KindState &state)
    {
        this->held[static_cast<std::size_t>(kind)] = state;
    }
    const KindStates &states() const { return this->held; }

    void onFetchFailed(const std::string &address, absl::Time now);
    void onStoreFailed(absl::Time now);
    void onStoreAnswered() { this->storeFailures = 0; }
    /** The store fails to answer this instance; others read it instead. */
    bool isStoreLost(absl::Time now) const;

    /** What is to be done for @p kind now. */
    Step next(StoreKind kind, absl::Time now);
    /** Latest moment at which another instance knew that what is held of @p kind is the newest. */
    absl::Time confirmedByOthers(StoreKind kind) const;

private:
    struct Announcer
    {
        std::string relayAddress;
        bool hasLostStore = false;
        KindStates states;
        absl::Time toldAt = absl::InfinitePast();
        absl::Time fetchFailedAt = absl::InfinitePast();
    };

    /** Number of instances that read the store before this one does; zero for the watcher. */
    std::size_t position(absl::Time now) const;
    std::size_t aggregatorPosition(absl::Time now) const;
    bool hasLost(const InstanceRecord &other) const;
    absl::Duration retryPause() const;
    bool mayReadStore(StoreKind kind, absl::Time now);
    static absl::Duration watchTime(StoreKind kind);
    /** Lets one call find out whether a store that failed answers again. */
    bool mayTryStore(absl::Time now);

    InstanceRecord self;
    Topology place;
    KindStates held;
    absl::flat_hash_map<InstanceId, Announcer> tellers;
    absl::Time startedAt = absl::InfiniteFuture();
    absl::Time storeFailedAt = absl::InfinitePast();
    int storeFailures = 0;
    /** When the store was first asked again since it failed. */
    absl::Time storeTriedAt = absl::InfinitePast();
};

} // namespace foxtailtally

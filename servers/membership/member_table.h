#pragma once

#include "core/random.h"
#include "servers/membership/gossip_messages.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <span>
#include <vector>

namespace foxtailtally {

/** An instance from the platform's list or the settings' seed list. */
struct KnownInstance
{
    InstanceId instance;
    FailureDomainId domain;
    std::string address;
};

/** This instance's entry for another instance has changed. */
struct PeerChanged
{
    MemberUpdate member;
};

/**
 * The instances of all domains as this one sees them.
 *
 * Of two updates on one instance the one with the higher incarnation wins, then the higher
 * refutation number, then the later state in the order alive, suspect, leaving, dead.
 */
class MemberTable
{
public:
    struct Member
    {
        MemberUpdate update;
        /** Time of the last change of state or incarnation. */
        absl::Time changedAt;
        /** Time of the last message received from the instance itself. */
        absl::Time lastReceivedAt = absl::InfinitePast();
        /**
         * Time of the first message sent to the instance since the last one received from it; used
         * for instances of other domains.
         */
        absl::Time unansweredSince = absl::InfiniteFuture();
        absl::Time lastSentAt = absl::InfinitePast();
        /** Number of messages that have carried the current update. */
        std::uint32_t transmissions = 0;
        /** False for an instance that is only known from a list. */
        bool isConfirmed = false;
    };

    explicit MemberTable(MemberUpdate self);

    const MemberUpdate &self() const { return this->ownUpdate; }
    void setSettledRoster(std::uint64_t version);
    void announceLeaving();

    /** Adds unknown instances of a list; they count as dead until an update about them arrives. */
    void addKnown(std::span<const KnownInstance> instances, absl::Time now);
    /** Removes dead instances that have not changed since @p before. */
    void removeDead(absl::Time before);

    /**
     * Merges @p update; returns whether a member's state, incarnation or settled roster changed.
     */
    bool merge(const MemberUpdate &update, absl::Time now);
    /** Records a message received from the instance itself. */
    void recordReceived(const InstanceId &instance, absl::Time now);
    void recordSent(const InstanceId &instance, absl::Time now);
    /**
     * Sets a member's state to @p state, at its current refutation number, if that is later in the
     * order above; returns whether it changed.
     */
    bool declare(const InstanceId &instance, PeerState state, absl::Time now);

    const Member *find(const InstanceId &instance) const;
    const absl::btree_map<InstanceId, Member> &members() const { return this->others; }
    std::size_t size() const { return this->others.size(); }

    /** Up to @p count random members of the own domain, without @p except. */
    std::vector<InstanceId> randomPeers(std::size_t count, const InstanceId &except,
                                        Random &random) const;
    /**
     * Up to @p count random members of the own domain that are dead, which includes those known
     * only from a list.
     */
    std::vector<InstanceId> randomDead(std::size_t count, Random &random) const;

    /**
     * Updates on members of the own domain that have been sent fewer than @p limit times, least
     * sent first.
     */
    std::vector<const Member *> pendingUpdates(std::uint32_t limit) const;
    /** The next @p count members of the own domain in a rotation over all of them. */
    std::vector<const Member *> nextInRotation(std::size_t count);
    void recordTransmitted(const InstanceId &instance);

private:
    std::vector<InstanceId> sample(std::vector<InstanceId> candidates, std::size_t count,
                                   Random &random) const;

    MemberUpdate ownUpdate;
    absl::btree_map<InstanceId, Member> others;
    InstanceId rotation;
};

} // namespace foxtailtally

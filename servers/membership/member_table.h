#pragma once

#include "core/random.h"
#include "servers/membership/gossip_messages.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <span>
#include <vector>

namespace foxtailtally {

/** An instance as the platform's or the settings' list names it. */
struct KnownInstance
{
    InstanceId instance;
    FailureDomainId domain;
    std::string address;
};

/** A change in what this instance holds of another. */
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
        /** Last message received from the instance itself. */
        absl::Time lastReceivedAt = absl::InfinitePast();
        /** First message sent to a remote instance since it was last heard. */
        absl::Time unansweredSince = absl::InfiniteFuture();
        absl::Time lastSentAt = absl::InfinitePast();
        /** Messages that have carried the present update. */
        std::uint32_t transmissions = 0;
        /** False for an instance that is only known from a list. */
        bool isConfirmed = false;
    };

    explicit MemberTable(MemberUpdate self);

    const MemberUpdate &self() const { return this->ownUpdate; }
    void setSettledRoster(std::uint64_t version);
    void announceLeaving();

    /** Adds instances of a list that are not known; they count as dead until they are heard of. */
    void addKnown(std::span<const KnownInstance> instances, absl::Time now);
    /** Drops dead instances that have not changed since @p before and are not in a list. */
    void removeDead(absl::Time before);

    /** Merges @p update; returns whether a member's state, process or settled roster changed. */
    bool merge(const MemberUpdate &update, absl::Time now);
    /** Notes a message from the instance itself. */
    void recordReceived(const InstanceId &instance, absl::Time now);
    void recordSent(const InstanceId &instance, absl::Time now);
    /** Raises a member's state to @p state at its present refutation number. */
    bool declare(const InstanceId &instance, PeerState state, absl::Time now);

    const Member *find(const InstanceId &instance) const;
    const absl::btree_map<InstanceId, Member> &members() const { return this->others; }
    std::size_t size() const { return this->others.size(); }

    /** Up to @p count random members of the own domain, without @p except. */
    std::vector<InstanceId> randomPeers(std::size_t count, const InstanceId &except,
                                        Random &random) const;
    /** Up to @p count random members of the own domain that are dead or never heard of. */
    std::vector<InstanceId> randomDead(std::size_t count, Random &random) const;

    /** Updates that have been sent fewer than @p limit times, least sent first. */
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

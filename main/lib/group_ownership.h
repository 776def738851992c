#pragma once

#include "main/lib/owned_group.h"
#include "servers/shares/share_ledger.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** The server groups of one domain by id. */
using DomainGroups = absl::flat_hash_map<GroupId, std::vector<BackendServer>>;

struct OwnershipOptions
{
    RosterMember self;
    FailureDomainId domain;
    std::string admissionPolicy;
    ShareTiming timing;
};

/**
 * The server groups that this instance owns and how much of each server it may use: connects the
 * share ledger with the admission policy of each owned group. Used by the control loop only.
 */
class GroupOwnership
{
public:
    /** Sends a message of the share ledger to another instance. */
    using SendShares = std::function<void(const ShareAction &action)>;

    GroupOwnership(OwnershipOptions options, SendShares send);

    void setGroups(DomainGroups groups, absl::Time now);
    void setRoster(Roster roster, absl::Time now);
    void onPeerState(const RosterMember &peer, PeerState state, absl::Time now);
    void onPeerSettled(const RosterMember &peer, std::uint64_t version, absl::Time now);
    void onInstanceList(std::span<const RosterMember> listed, absl::Time now);
    void onLoanRequest(const LoanRequest &request, absl::Time now);
    void onLoanOffer(const LoanOffer &offer, absl::Time now);
    void onTick(absl::Time now);
    /** Refuses all reservations while the domain is out of service; running requests finish. */
    void setOutOfService(bool isOutOfService, absl::Time now);
    /** Refuses waiting requests, returns all loans and stops owning groups. */
    void leave(absl::Time now);

    /** Null when this instance does not own @p group. */
    OwnedGroup *find(const GroupId &group);
    const absl::flat_hash_map<GroupId, std::unique_ptr<OwnedGroup>> &owned() const
    {
        return this->ownedGroups;
    }
    /** Owner, by roster and live peers, of a group in this domain; empty if unknown. */
    InstanceId ownerOf(const GroupId &group) const;
    bool isOfDomain(const GroupId &group) const { return this->groups.contains(group); }

    // Forwarded to the admission policy of the group; each call reports the usage to the ledger.
    void reserve(const GroupId &group, const ReserveRequest &request,
                 ReservationPort::Callback callback, absl::Time now);
    void withdraw(const GroupId &group, const RequestId &request, absl::Time now);
    void release(const GroupId &group, const PermitRelease &release, absl::Time now);
    void onPermitReport(const GroupId &group, const PermitReport &report, absl::Time now);
    void onLoadReport(const GroupId &group, const LoadReport &report, absl::Time now);
    void onServerLost(const GroupId &group, const BackendServerId &server, absl::Time now);
    void onSuspect(const Fingerprint &fingerprint, std::uint32_t deaths, absl::Time now);
    void onInstanceDead(const RosterMember &instance, absl::Time now);

    const Roster &roster() const { return this->currentRoster; }
    std::uint64_t settledVersion() const { return this->ledger.settledVersion(); }
    bool hasRelinquished(const RosterMember &member, std::uint64_t version, absl::Time now) const
    {
        return this->ledger.hasRelinquished(member, version, now);
    }

private:
    void send(const ShareActions &actions);
    /** Starts and stops owning groups as the ledger decides, and sets the limits of owned ones. */
    void refresh(absl::Time now);
    void startOwning(const GroupId &group, const std::vector<BackendServer> &servers,
                     absl::Time now);
    void stopOwning(const GroupId &group, absl::Time now);
    void updateLimits(const GroupId &group, OwnedGroup &ownedGroup, absl::Time now);
    void reportUse(const GroupId &group, OwnedGroup &ownedGroup);
    template <typename Call>
    void withGroup(const GroupId &group, Call &&call);

    OwnershipOptions options;
    SendShares sendShares;
    ShareLedger ledger;
    Roster currentRoster;
    DomainGroups groups;
    absl::flat_hash_map<InstanceId, RosterMember> livePeers;
    absl::flat_hash_map<GroupId, std::unique_ptr<OwnedGroup>> ownedGroups;
    bool leaving = false;
    bool isOutOfService = false;
};

} // namespace foxtailtally

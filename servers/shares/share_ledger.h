#pragma once

#include "core/backend_server.h"
#include "core/result.h"
#include "servers/shares/loan_messages.h"
#include "servers/shares/share_borrower.h"
#include "servers/shares/share_lender.h"
#include "servers/shares/share_topology.h"
#include "servers/shares/takeover_gate.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <span>
#include <variant>
#include <vector>

namespace foxtailtally {

/** Send @p request to the instance @p to. */
struct SendLoanRequest
{
    InstanceId to;
    LoanRequest request;
};

/** Send @p offer to the instance @p to. */
struct SendLoanOffer
{
    InstanceId to;
    LoanOffer offer;
};

using ShareAction = std::variant<SendLoanRequest, SendLoanOffer>;
using ShareActions = std::vector<ShareAction>;

/**
 * Which part of each server's limits this process may use. A limit is divided in whole units among
 * the share holders of the server's group; a holder lends its share to the group's owner.
 *
 * The permits that run on a server at one time, granted by any process, never exceed its limit in
 * sum, under any partition, delay or pause. This relies on these assumptions: clocks of live
 * processes differ from real time by at most 1% in rate and never go back; a permit reaches the
 * engine within ShareTiming::startBound of the end of the right it was granted by; load reports are
 * no older than stated; a process that has been missing from the platform's list for
 * ShareTiming::listLag, or that is listed with a later incarnation, has ended; two owners at the
 * same time use the same limits.
 */
class ShareLedger
{
public:
    ShareLedger(RosterMember self, ShareTiming timing);
    ShareLedger(const ShareLedger &) = delete;
    ShareLedger &operator=(const ShareLedger &) = delete;

    /** The domain's groups and their servers, from the platform's list. */
    ShareActions setGroups(std::vector<ShareGroup> groups, absl::Time now);
    /** Adopts a roster with a higher number; lower ones are ignored. */
    ShareActions setRoster(Roster roster, absl::Time now);
    ShareActions onPeerState(const RosterMember &peer, PeerState state, absl::Time now);
    /** The platform's list of live and leaving instances; call for each list received. */
    ShareActions onInstanceList(std::span<const RosterMember> listed, absl::Time now);
    /** Gossip reports that @p member's settledVersion() has reached @p version. */
    ShareActions onPeerSettled(const RosterMember &member, std::uint64_t version, absl::Time now);
    ShareActions onLoanRequest(const LoanRequest &request, absl::Time now);
    ShareActions onLoanOffer(const LoanOffer &offer, absl::Time now);
    /** Call at least every 500 ms; a later call delays renewals. */
    ShareActions onTick(absl::Time now);
    /** Returns all loans and gives up ownership of all groups. Call setOwnUse() first. */
    ShareActions leave(absl::Time now);

    /** Permits of this process on @p server that are granted and not released. */
    void setOwnUse(const GroupId &group, const BackendServerId &server, ServerUse use);
    /**
     * Applies a load report of a server of @p group. @p ownRunning counts the permits of this
     * process that certainly ran when the report was taken: they are known to have started before
     * it and to have ended after it or still run. Zero is always safe, but then part of the limit
     * of a server that is never idle stays unused after a takeover. Call again for the same report,
     * with its increased age, when the holders of permits have reported more.
     */
    void onLoadReport(const GroupId &group, const LoadReport &report, ServerUse ownRunning,
                      absl::Time now);

    /** Whether this process is the first live holder in its own view. */
    bool isOwner(const GroupId &group) const;
    /** First live holder in this process's view; an empty id when no holder is live. */
    InstanceId ownerOf(const GroupId &group) const;
    /**
     * Units of @p limit in the shares that this process may use at @p now, without subtracting what
     * earlier users still run.
     */
    std::int64_t usableUnits(const GroupId &group, std::int64_t limit, absl::Time now) const;
    /** Part of @p limit of @p server that permits of this process may occupy at @p now. */
    ServerUse usable(const GroupId &group, const BackendServerId &server, ServerUse limit,
                     absl::Time now) const;
    /**
     * Time by which load reports have arrived that show what earlier users still run, provided that
     * reports are at most ShareTiming::reportLag old; @p now or earlier once all shares can be
     * used. InfiniteFuture while no share is held.
     */
    absl::Time takeoverReadyAt(const GroupId &group, absl::Time now) const;
    /** Version below which this process holds and lends nothing. */
    std::uint64_t settledVersion() const { return this->lender.settledVersion(); }
    /** For nextRoster(): whether @p member no longer uses shares by @p version or earlier ones. */
    bool hasRelinquished(const RosterMember &member, std::uint64_t version, absl::Time now) const
    {
        return this->topology.hasRelinquished(member, version, now);
    }

private:
    struct ServerState
    {
        ServerUse ownUse;
        TakeoverGate gate;
    };
    using GroupServers = absl::flat_hash_map<BackendServerId, ServerState>;

    std::vector<HeldShare> heldShares(const GroupId &group, absl::Time now) const;
    const ServerState *findServer(const GroupId &group, const BackendServerId &server) const;
    UseStatement makeStatement(const GroupId &group);
    /** Gives up the shares of groups that this process does not own in its own view. */
    void releaseUnownedGroups(absl::Time now);
    ShareActions refresh(absl::Time now);

    ShareTopology topology;
    ShareLender lender;
    ShareBorrower borrower;
    absl::flat_hash_map<GroupId, GroupServers> servers;
    /** Groups owned after the last event. */
    absl::btree_set<GroupId> owned;
    std::uint64_t statements = 0;
};

} // namespace foxtailtally

#pragma once

#include "servers/shares/loan_messages.h"
#include "servers/shares/share_topology.h"
#include "servers/shares/takeover_gate.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <optional>
#include <utility>
#include <vector>

namespace foxtailtally {

/**
 * The shares that this process holds by the roster: to whom each is lent, and when it can be
 * reused.
 *
 * A loan ends when the borrower has acknowledged an offer without it, has returned it, or when
 * the term plus the reuse margin has passed since the last offer that contained it. The borrower
 * counts the same term from its own request, which it sent before that offer, so the borrower
 * always stops first, however long the datagrams are delayed.
 */
class ShareLender
{
public:
    explicit ShareLender(ShareTopology &topology);

    /** Call after the topology has adopted a roster or changed its groups. */
    void onTopologyChange();
    /** Ends expired loans and takes own shares that are free into use. */
    void update(absl::Time now);

    /** Answers @p request. Returns false for a request older than one already handled. */
    bool onRequest(const LoanRequest &request, absl::Time now, LoanOffer &offer);
    /**
     * Offers to instances whose last request is recent and which can now get a share that the offer
     * in reply to that request did not contain.
     */
    std::vector<std::pair<InstanceId, LoanOffer>> pushOffers(absl::Time now);
    /** This process has stopped using @p group and declares what it still runs. */
    void onOwnUseEnded(const GroupId &group, const UseStatement &statement);

    /** The own share of @p group if this process may use it. */
    std::optional<HeldShare> heldShare(const GroupId &group) const;
    /** The own share of @p group if this process was its last user. */
    std::optional<HeldShare> lastUsedShare(const GroupId &group) const;
    /** Version below which this process holds and lends nothing. */
    std::uint64_t settledVersion() const;

private:
    struct LoanRecord
    {
        RosterMember borrower;
        std::uint64_t version = 0;
        /** Last offer that contains the loan. */
        std::uint64_t lastOffer = 0;
        absl::Time reuseAt;
    };

    struct OwnShare
    {
        std::uint64_t tenancy = 0;
        RosterMember borrower;
        absl::Time borrowerSince;
        /** What users before the borrower may run. */
        UseStatement statement;
        /** Declared by the borrower when it gave the share up; passed on to the next borrower. */
        UseStatement returned;
        std::uint32_t index = 0;
        std::uint32_t holders = 0;
        std::vector<LoanRecord> records;
    };

    struct Requester
    {
        RosterMember member;
        std::uint64_t rosterVersion = 0;
        std::int64_t sentAt = 0;
        absl::Time receivedAt;
        std::vector<GroupId> groups;
    };

    void release(const LoanRequest &request);
    bool isLendable(const HeldGroup &held, const OwnShare &share, const Requester &to) const;
    void transferTo(OwnShare &share, const RosterMember &borrower, absl::Time now);
    LoanOffer makeOffer(const Requester &to, absl::Time now);

    ShareTopology &topology;
    absl::btree_map<GroupId, OwnShare> shares;
    absl::btree_map<InstanceId, Requester> requesters;
    std::uint64_t offerSequence = 0;
    std::uint64_t nextTenancy = 1;
};

} // namespace foxtailtally

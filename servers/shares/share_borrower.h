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

/** The shares that other holders have lent to this process, and the requests for them. */
class ShareBorrower
{
public:
    explicit ShareBorrower(ShareTopology &topology);

    /**
     * Applies an offer. Error::MessageStaleIncarnation for another incarnation of either side,
     * Error::DocumentStale for an offer older than one already taken.
     */
    std::error_code onOffer(const LoanOffer &offer, absl::Time now);

    /** Loans of @p group that may be used at @p now. Pointers are valid until the next event. */
    void appendHeld(const GroupId &group, absl::Time now, std::vector<HeldShare> &held) const;
    /** Loans of @p group that have not been returned, whether or not they may be used. */
    void appendUnreturned(const GroupId &group, std::vector<HeldShare> &held) const;
    /** Groups with loans that have not been returned. */
    std::vector<GroupId> unreturnedGroups() const;
    /** Stops using all loans of @p group and returns them with @p statement. */
    void returnLoans(const GroupId &group, const UseStatement &statement, absl::Time now);

    /** Requests that are due at @p now, with their receivers. */
    std::vector<std::pair<InstanceId, LoanRequest>> dueRequests(std::uint64_t settledVersion,
                                                                absl::Time now);

private:
    struct Borrowed
    {
        Loan loan;
        std::uint64_t rosterVersion = 0;
        absl::Time validUntil;
        absl::Time acquiredAt;
        std::uint64_t acquisition = 0;
        /** Set once the loan is returned; it may be used again only after a new offer. */
        std::optional<UseStatement> returned;
        /** False while the latest offer does not contain the loan; kept to recognise the tenancy.
         */
        bool isOffered = true;
    };

    struct Lender
    {
        Incarnation incarnation = 0;
        std::uint64_t lastOffer = 0;
        absl::Time nextRequestAt = absl::InfinitePast();
        std::vector<GroupId> requested;
        absl::btree_map<GroupId, Borrowed> loans;
    };

    static HeldShare toHeldShare(const Borrowed &borrowed);
    absl::btree_map<InstanceId, std::vector<GroupId>> wantedByLender() const;
    LoanRequest makeRequest(Lender &lender, std::vector<GroupId> groups,
                            std::uint64_t settledVersion, absl::Time now);

    ShareTopology &topology;
    absl::btree_map<InstanceId, Lender> lenders;
    std::int64_t lastSentAt = 0;
    std::uint64_t acquisitions = 0;
};

} // namespace foxtailtally

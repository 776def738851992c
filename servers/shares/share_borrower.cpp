#include "servers/shares/share_borrower.h"

#include <algorithm>

namespace foxtailtally {

ShareBorrower::ShareBorrower(ShareTopology &topology)
    : topology(topology)
{ }

std::error_code ShareBorrower::onOffer(const LoanOffer &offer, absl::Time now)
{
    if (offer.borrower != this->topology.self())
        return make_error_code(Error::MessageStaleIncarnation);
    Lender &lender = this->lenders[offer.lender.instance];
    if (offer.lender.incarnation < lender.incarnation)
        return make_error_code(Error::MessageStaleIncarnation);
    if (offer.lender.incarnation == lender.incarnation && offer.sequence <= lender.lastOffer)
        return make_error_code(Error::DocumentStale);
    if (offer.lender.incarnation > lender.incarnation)
        lender.loans.clear();
    lender.incarnation = offer.lender.incarnation;
    lender.lastOffer = offer.sequence;
    for (auto &[group, borrowed] : lender.loans)
        borrowed.isOffered = false;
    const absl::Time countedFrom = absl::FromUnixNanos(offer.requestSentAt);
    for (const Loan &loan : offer.loans) {
        Borrowed &borrowed = lender.loans[loan.group];
        if (borrowed.acquisition == 0 || borrowed.loan.tenancy != loan.tenancy) {
            borrowed.acquisition = ++this->acquisitions * 2 + 1;
            borrowed.acquiredAt = now;
            borrowed.loan = loan;
        }
        borrowed.rosterVersion = offer.rosterVersion;
        borrowed.validUntil = countedFrom + absl::Milliseconds(offer.termMs);
        borrowed.returned.reset();
        borrowed.isOffered = true;
    }
    lender.nextRequestAt = countedFrom + this->topology.timing().renewal;
    return {};
}

void ShareBorrower::appendHeld(const GroupId &group, absl::Time now,
                               std::vector<HeldShare> &held) const
{
    for (const auto &[id, lender] : this->lenders) {
        const auto found = lender.loans.find(group);
        if (found == lender.loans.end())
            continue;
        const Borrowed &borrowed = found->second;
        if (!borrowed.isOffered || borrowed.returned || now >= borrowed.validUntil
            || borrowed.rosterVersion != this->topology.rosterVersion())
            continue;
        held.push_back(toHeldShare(borrowed));
    }
}

HeldShare ShareBorrower::toHeldShare(const Borrowed &borrowed)
{
    const Loan &loan = borrowed.loan;
    return {borrowed.acquisition, borrowed.acquiredAt, loan.index, loan.holders,
            loan.statement.isKnown() ? &loan.statement : nullptr};
}

void ShareBorrower::appendUnreturned(const GroupId &group, std::vector<HeldShare> &held) const
{
    for (const auto &[id, lender] : this->lenders) {
        const auto found = lender.loans.find(group);
        if (found != lender.loans.end() && found->second.isOffered && !found->second.returned)
            held.push_back(toHeldShare(found->second));
    }
}

std::vector<GroupId> ShareBorrower::unreturnedGroups() const
{
    std::vector<GroupId> groups;
    for (const auto &[id, lender] : this->lenders)
        for (const auto &[group, borrowed] : lender.loans)
            if (borrowed.isOffered && !borrowed.returned)
                groups.push_back(group);
    return groups;
}

void ShareBorrower::returnLoans(const GroupId &group, const UseStatement &statement, absl::Time now)
{
    for (auto &[id, lender] : this->lenders) {
        const auto found = lender.loans.find(group);
        if (found == lender.loans.end() || !found->second.isOffered || found->second.returned)
            continue;
        found->second.returned = statement;
        lender.nextRequestAt = now;
    }
}

absl::btree_map<InstanceId, std::vector<GroupId>> ShareBorrower::wantedByLender() const
{
    absl::btree_map<InstanceId, std::vector<GroupId>> wanted;
    const InstanceId &self = this->topology.self().instance;
    for (const auto &[id, held] : this->topology.groups()) {
        // Also sent to earlier holders, whose offers tell whether they are settled.
        for (const RosterMember &unsettledHolder : held.unsettledHolders)
            if (unsettledHolder.instance != self)
                wanted.try_emplace(unsettledHolder.instance);
        if (!this->topology.isOwner(held))
            continue;
        for (const RosterMember &holder : held.holders)
            if (holder.instance != self)
                wanted[holder.instance].push_back(id);
    }
    return wanted;
}

LoanRequest ShareBorrower::makeRequest(Lender &lender, std::vector<GroupId> groups,
                                       std::uint64_t settledVersion, absl::Time now)
{
    LoanRequest request;
    request.sender = this->topology.self();
    request.rosterVersion = this->topology.rosterVersion();
    request.settledVersion = settledVersion;
    this->lastSentAt = std::max(this->lastSentAt + 1, absl::ToUnixNanos(now));
    request.sentAt = this->lastSentAt;
    request.isLeaving = this->topology.isLeaving();
    request.acknowledgedIncarnation = lender.incarnation;
    request.acknowledgedOffer = lender.lastOffer;
    for (const auto &[group, borrowed] : lender.loans)
        if (borrowed.isOffered && borrowed.returned)
            request.returns.push_back({group, *borrowed.returned});
    lender.requested = groups;
    request.groups = std::move(groups);
    return request;
}

std::vector<std::pair<InstanceId, LoanRequest>>
ShareBorrower::dueRequests(std::uint64_t settledVersion, absl::Time now)
{
    auto wanted = this->wantedByLender();
    for (auto &[id, lender] : this->lenders) {
        const bool hasReturn =
            std::any_of(lender.loans.begin(), lender.loans.end(), [&](const auto &entry) {
                const Borrowed &borrowed = entry.second;
                return borrowed.isOffered && borrowed.returned && now < borrowed.validUntil;
            });
        if (hasReturn)
            wanted.try_emplace(id);
        else if (!wanted.contains(id))
            lender.nextRequestAt = absl::InfinitePast();
    }
    std::vector<std::pair<InstanceId, LoanRequest>> requests;
    for (auto &[id, groups] : wanted) {
        Lender &lender = this->lenders[id];
        if (now < lender.nextRequestAt && groups == lender.requested)
            continue;
        const ShareTiming &timing = this->topology.timing();
        const bool isLive = this->topology.isServingPeer(id);
        lender.nextRequestAt = now + (isLive ? timing.retry : timing.renewal);
        requests.emplace_back(id,
                              this->makeRequest(lender, std::move(groups), settledVersion, now));
    }
    return requests;
}

} // namespace foxtailtally

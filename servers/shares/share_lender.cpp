#include "servers/shares/share_lender.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Age of a request up to which a share that becomes free is offered without a new request. */
constexpr absl::Duration kPushWindow = absl::Seconds(2);

} // namespace

ShareLender::ShareLender(ShareTopology &topology)
    : topology(topology)
{ }

void ShareLender::onTopologyChange()
{
    for (auto share = this->shares.begin(); share != this->shares.end();) {
        // Loan records of a share that this process no longer holds still count for
        // settledVersion().
        if (this->topology.find(share->first) == nullptr && share->second.records.empty())
            share = this->shares.erase(share);
        else
            ++share;
    }
    for (const auto &[id, held] : this->topology.groups()) {
        if (!held.ownIndex)
            continue;
        OwnShare &share = this->shares[id];
        const auto holders = static_cast<std::uint32_t>(held.holders.size());
        const bool isSame = share.index == *held.ownIndex && share.holders == holders;
        if (isSame && !this->topology.hasEarlierHolder(id))
            continue;
        // Another process may have used these units in the meantime.
        share.index = *held.ownIndex;
        share.holders = holders;
        share.tenancy = this->nextTenancy++;
        share.borrower = {};
        share.statement = {};
        share.returned = {};
    }
}

void ShareLender::update(absl::Time now)
{
    this->topology.removeSettledHolders(now);
    for (auto &[id, share] : this->shares) {
        std::erase_if(share.records, [&](const LoanRecord &r) { return now >= r.reuseAt; });
        const HeldGroup *held = this->topology.find(id);
        if (held == nullptr || !held->ownIndex || !held->unsettledHolders.empty()
            || !share.records.empty() || !this->topology.isOwner(*held))
            continue;
        if (share.borrower != this->topology.self())
            this->transferTo(share, this->topology.self(), now);
        share.returned = {};
    }
}

void ShareLender::transferTo(OwnShare &share, const RosterMember &borrower, absl::Time now)
{
    share.tenancy = this->nextTenancy++;
    share.borrower = borrower;
    share.borrowerSince = now;
    share.statement = std::exchange(share.returned, {});
}

void ShareLender::release(const LoanRequest &request)
{
    if (request.acknowledgedIncarnation != this->topology.self().incarnation)
        return;
    for (auto &[id, share] : this->shares) {
        const GroupId &group = id;
        const bool isWanted =
            std::find(request.groups.begin(), request.groups.end(), group) != request.groups.end();
        const auto isOver = [&](const LoanRecord &r) {
            return r.borrower == request.sender
                && (request.acknowledgedOffer > r.lastOffer
                    || (request.acknowledgedOffer == r.lastOffer && !isWanted));
        };
        if (std::erase_if(share.records, isOver) == 0)
            continue;
        const auto declared = std::find_if(request.returns.begin(), request.returns.end(),
                                           [&](const LoanReturn &r) { return r.group == group; });
        if (declared != request.returns.end() && share.borrower == request.sender)
            share.returned = declared->statement;
    }
}

bool ShareLender::onRequest(const LoanRequest &request, absl::Time now, LoanOffer &offer)
{
    Requester &known = this->requesters[request.sender.instance];
    const bool isOlder = request.sender.incarnation < known.member.incarnation
        || (request.sender.incarnation == known.member.incarnation
            && request.sentAt <= known.sentAt);
    if (isOlder)
        return false;
    known = {request.sender, request.rosterVersion, request.sentAt, now, request.groups};
    this->release(request);
    this->update(now);
    offer = this->makeOffer(known, now);
    return true;
}

void ShareLender::onOwnUseEnded(const GroupId &group, const UseStatement &statement)
{
    const auto found = this->shares.find(group);
    if (found != this->shares.end() && found->second.borrower == this->topology.self())
        found->second.returned = statement;
}

bool ShareLender::isLendable(const HeldGroup &held, const OwnShare &share,
                             const Requester &to) const
{
    if (!held.ownIndex || !held.unsettledHolders.empty()
        || to.rosterVersion != this->topology.rosterVersion())
        return false;
    const InstanceId *owner = this->topology.ownerOf(held);
    if (owner == nullptr || *owner != to.member.instance
        || *owner == this->topology.self().instance)
        return false;
    return std::all_of(share.records.begin(), share.records.end(),
                       [&](const LoanRecord &r) { return r.borrower == to.member; });
}

LoanOffer ShareLender::makeOffer(const Requester &to, absl::Time now)
{
    LoanOffer offer;
    offer.lender = this->topology.self();
    offer.borrower = to.member;
    offer.rosterVersion = this->topology.rosterVersion();
    offer.sequence = ++this->offerSequence;
    offer.requestSentAt = to.sentAt;
    offer.termMs = absl::ToInt64Milliseconds(this->topology.timing().term);
    offer.isLeaving = this->topology.isLeaving();
    for (const GroupId &group : to.groups) {
        const HeldGroup *held = this->topology.find(group);
        const auto found = this->shares.find(group);
        if (held == nullptr || found == this->shares.end()
            || !this->isLendable(*held, found->second, to))
            continue;
        OwnShare &share = found->second;
        if (share.borrower != to.member)
            this->transferTo(share, to.member, now);
        share.returned = {};
        auto record =
            std::find_if(share.records.begin(), share.records.end(),
                         [&](const LoanRecord &r) { return r.version == offer.rosterVersion; });
        if (record == share.records.end())
            record =
                share.records.insert(record, LoanRecord {to.member, offer.rosterVersion, 0, now});
        record->lastOffer = offer.sequence;
        record->reuseAt = now + this->topology.timing().reuseAfter();
        offer.loans.push_back({group, share.index, share.holders, share.tenancy, share.statement});
    }
    offer.settledVersion = this->settledVersion();
    return offer;
}

std::vector<std::pair<InstanceId, LoanOffer>> ShareLender::pushOffers(absl::Time now)
{
    std::vector<std::pair<InstanceId, LoanOffer>> offers;
    for (const auto &[id, requester] : this->requesters) {
        if (now > requester.receivedAt + kPushWindow)
            continue;
        const Requester &to = requester;
        const bool hasNew = std::any_of(to.groups.begin(), to.groups.end(), [&](const auto &group) {
            const HeldGroup *held = this->topology.find(group);
            const auto share = this->shares.find(group);
            return held != nullptr && share != this->shares.end() && share->second.records.empty()
                && this->isLendable(*held, share->second, to);
        });
        if (hasNew)
            offers.emplace_back(id, this->makeOffer(to, now));
    }
    return offers;
}

std::optional<HeldShare> ShareLender::heldShare(const GroupId &group) const
{
    const HeldGroup *held = this->topology.find(group);
    const auto found = this->shares.find(group);
    if (held == nullptr || found == this->shares.end() || !held->ownIndex
        || !held->unsettledHolders.empty() || !this->topology.isOwner(*held)
        || !found->second.records.empty())
        return std::nullopt;
    return this->lastUsedShare(group);
}

std::optional<HeldShare> ShareLender::lastUsedShare(const GroupId &group) const
{
    const auto found = this->shares.find(group);
    if (found == this->shares.end() || found->second.borrower != this->topology.self())
        return std::nullopt;
    const OwnShare &own = found->second;
    // Own shares have even acquisition numbers, loans have odd ones.
    return HeldShare {own.tenancy * 2, own.borrowerSince, own.index, own.holders,
                      own.statement.isKnown() ? &own.statement : nullptr};
}

std::uint64_t ShareLender::settledVersion() const
{
    std::uint64_t version = this->topology.rosterVersion();
    for (const auto &[id, share] : this->shares)
        for (const LoanRecord &record : share.records)
            version = std::min(version, record.version);
    return version;
}

} // namespace foxtailtally

#include "servers/shares/takeover_gate.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

ServerUse unitsOf(ServerUse limit, const HeldShare &share)
{
    return {shareUnits(limit.requests, share.index, share.holders),
            shareUnits(limit.memoryTokens, share.index, share.holders)};
}

ServerUse plus(ServerUse left, ServerUse right)
{
    return {left.requests + right.requests, left.memoryTokens + right.memoryTokens};
}

ServerUse minusOrZero(ServerUse left, ServerUse right)
{
    return {std::max<std::int64_t>(0, left.requests - right.requests),
            std::max<std::int64_t>(0, left.memoryTokens - right.memoryTokens)};
}

ServerUse larger(ServerUse left, ServerUse right)
{
    return {std::max(left.requests, right.requests),
            std::max(left.memoryTokens, right.memoryTokens)};
}

ServerUse smaller(ServerUse left, ServerUse right)
{
    return {std::min(left.requests, right.requests),
            std::min(left.memoryTokens, right.memoryTokens)};
}

ServerUse sumOfUnits(ServerUse limit, std::span<const HeldShare *const> shares)
{
    ServerUse sum;
    for (const HeldShare *share : shares)
        sum = plus(sum, unitsOf(limit, *share));
    return sum;
}

} // namespace

void TakeoverGate::onReport(ServerUse foreign, absl::Time takenAt, std::span<const HeldShare> held,
                            absl::Duration startBound)
{
    const auto isCoveredBy = [&](const HeldShare &share, absl::Time time) {
        return time >= share.acquiredAt + startBound;
    };
    absl::flat_hash_set<std::uint64_t> stillCleared;
    const bool isEmpty = foreign.requests <= 0 && foreign.memoryTokens <= 0;
    bool coversSameShares = true;
    for (const HeldShare &share : held) {
        const bool isCovered = isCoveredBy(share, takenAt);
        if (this->isCleared(share) || (isEmpty && isCovered))
            stillCleared.insert(share.acquisition);
        else if (isCovered != isCoveredBy(share, this->reportTakenAt))
            coversSameShares = false;
    }
    this->cleared = std::move(stillCleared);
    if (coversSameShares) {
        // What earlier users run on the same shares never increases, so the lowest bound applies.
        // The earlier time is kept, since the later report may not cover a share that is not held
        // now.
        this->reported = smaller(foreign, this->reported);
        this->reportTakenAt = std::min(takenAt, this->reportTakenAt);
    } else if (takenAt > this->reportTakenAt) {
        this->reported = foreign;
        this->reportTakenAt = takenAt;
    }
}

TakeoverGate::Declared TakeoverGate::declaredUse(std::span<const HeldShare *const> pending,
                                                 const BackendServerId &server) const
{
    Declared declared;
    // One statement covers all shares that were passed on with it and counts once. Different
    // statements of one user may cover different shares, so they are added.
    absl::flat_hash_map<std::pair<RosterMember, std::uint64_t>, ServerUse> byStatement;
    for (const HeldShare *share : pending) {
        if (share->statement == nullptr)
            continue;
        const auto &uses = share->statement->uses;
        const auto use = std::find_if(uses.begin(), uses.end(),
                                      [&](const DeclaredUse &d) { return d.server == server; });
        if (use == uses.end())
            continue;
        declared.shares.push_back(share);
        byStatement[{share->statement->user, share->statement->number}] = use->use;
    }
    for (const auto &[statement, use] : byStatement)
        declared.total = plus(declared.total, use);
    return declared;
}

ServerUse TakeoverGate::usable(ServerUse limit, std::span<const HeldShare> held,
                               const BackendServerId &server, absl::Duration startBound) const
{
    ServerUse sum;
    std::vector<const HeldShare *> covered;
    std::vector<const HeldShare *> uncovered;
    for (const HeldShare &share : held) {
        if (this->isCleared(share))
            sum = plus(sum, unitsOf(limit, share));
        else if (this->reportTakenAt >= share.acquiredAt + startBound)
            covered.push_back(&share);
        else
            uncovered.push_back(&share);
    }
    const auto byDeclaration = [&](std::span<const HeldShare *const> shares) {
        const Declared declared = this->declaredUse(shares, server);
        return minusOrZero(sumOfUnits(limit, declared.shares), declared.total);
    };
    const ServerUse byReport = minusOrZero(sumOfUnits(limit, covered), this->reported);
    sum = plus(sum, larger(byReport, byDeclaration(covered)));
    return plus(sum, byDeclaration(uncovered));
}

bool TakeoverGate::earlierUseBound(std::span<const HeldShare> held, const BackendServerId &server,
                                   absl::Duration startBound, ServerUse &bound) const
{
    bound = {};
    bool hasCovered = false;
    std::vector<const HeldShare *> uncovered;
    for (const HeldShare &share : held) {
        if (this->isCleared(share))
            continue;
        if (this->reportTakenAt >= share.acquiredAt + startBound)
            hasCovered = true;
        else
            uncovered.push_back(&share);
    }
    const Declared declared = this->declaredUse(uncovered, server);
    if (declared.shares.size() != uncovered.size())
        return false;
    if (hasCovered)
        bound = this->reported;
    bound = plus(bound, declared.total);
    return true;
}

} // namespace foxtailtally

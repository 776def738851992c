#include "servers/limits/token_claims.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Longer than any copy of a grant is under way. */
constexpr absl::Duration kSpentRetention = absl::Seconds(3);

} // namespace

std::vector<ServerKey> serversToClaim(ServerKey preferred, std::vector<ServerKey> others,
                                      Random &random)
{
    std::vector<ServerKey> servers = {preferred};
    while (!others.empty() && servers.size() < kMaxServersInClaim) {
        std::swap(others[random.below(others.size())], others.back());
        servers.push_back(others.back());
        others.pop_back();
    }
    return servers;
}

ClaimId TokenClaims::claim(TokenDemand demand, absl::Time now)
{
    const ClaimId id = this->nextId++;
    Claim &claim = this->claims[id];
    claim.expiresAt = now + demand.patience;
    claim.answeredAt = now;
    claim.demand = std::move(demand);
    return id;
}

TokenClaim TokenClaims::message(ClaimId id, ClaimKind kind) const
{
    TokenClaim message;
    message.id = id;
    message.kind = kind;
    message.replyAddress = this->replyAddress;
    return message;
}

TokenClaim TokenClaims::charge(ServerKey server)
{
    TokenClaim message = this->message(this->nextId++, ClaimKind::Charge);
    message.servers = {server};
    return message;
}

TokenClaim TokenClaims::giveUp(ClaimId id)
{
    TokenClaim message = this->message(id, ClaimKind::Return);
    const auto found = this->claims.find(id);
    if (found == this->claims.end())
        return message;
    message.servers = found->second.demand.servers;
    this->claims.erase(found);
    return message;
}

bool TokenClaims::spend(ClaimId id, absl::Time now)
{
    const auto found = this->claims.find(id);
    if (found == this->claims.end())
        return false;
    const bool isValid = found->second.isGranted && now <= found->second.validUntil;
    this->claims.erase(found);
    this->spent[id] = now;
    return isValid;
}

std::uint32_t TokenClaims::stampAt(absl::Time now) const
{
    return static_cast<std::uint32_t>(absl::ToInt64Milliseconds(now - this->startedAt));
}

std::vector<TokenClaim> TokenClaims::takeDue(absl::Time now)
{
    std::vector<TokenClaim> due;
    for (auto &[id, claim] : this->claims) {
        const bool isOver =
            claim.isGranted ? now - claim.grantedAt > kMaxHold : claim.expiresAt <= now;
        if (isOver || now - claim.sentAt < kRenewInterval)
            continue;
        claim.sentAt = now;
        TokenClaim message = this->message(id, ClaimKind::Request);
        message.servers = claim.demand.servers;
        message.worth = claim.demand.worth;
        message.patience = std::max(absl::ZeroDuration(), claim.expiresAt - now);
        message.stamp = this->stampAt(now);
        due.push_back(std::move(message));
    }
    return due;
}

std::vector<TokenClaim> TokenClaims::onReply(const TokenReply &reply, absl::Time now)
{
    const auto found = this->claims.find(reply.id);
    if (found == this->claims.end()) {
        if (reply.answer != ClaimAnswer::Granted || this->spent.contains(reply.id))
            return {};
        TokenClaim unused = this->message(reply.id, ClaimKind::Return);
        unused.servers = {reply.server};
        return {unused};
    }
    Claim &claim = found->second;
    if (claim.isGranted && reply.answer != ClaimAnswer::Granted)
        return {};
    if (reply.answer == ClaimAnswer::NotIssuer) {
        claim.sentAt = absl::InfinitePast();
        return {};
    }
    claim.answeredAt = now;
    claim.wait = reply.wait;
    if (reply.answer == ClaimAnswer::Queued)
        return {};
    if (reply.answer == ClaimAnswer::Granted) {
        // The stamp wraps around after some weeks, the difference of two does not.
        const std::uint32_t ageMs = this->stampAt(now) - reply.stamp;
        const absl::Time sentAt = now - absl::Milliseconds(ageMs);
        // Granted before a pause of this process; the next renewal is answered with a new stamp.
        if (now > sentAt + kTokenTerm)
            return {};
        claim.validUntil = std::max(claim.validUntil, sentAt + kTokenTerm);
        if (claim.isGranted)
            return {};
        claim.isGranted = true;
        claim.grantedAt = now;
        claim.server = reply.server;
        this->expected.erase(reply.server);
        this->outcomes.push_back({reply.id, true, reply.server});
        return {};
    }
    this->expectAt(claim.demand.servers, now + reply.wait);
    this->claims.erase(found);
    this->outcomes.push_back({reply.id, false, 0});
    return {};
}

void TokenClaims::expectAt(std::span<const ServerKey> servers, absl::Time at)
{
    for (const ServerKey server : servers)
        this->expected[server] = at;
}

std::vector<ClaimOutcome> TokenClaims::takeOutcomes(absl::Time now)
{
    std::vector<ClaimId> failed;
    for (const auto &[id, claim] : this->claims) {
        if (claim.isGranted)
            continue;
        const bool isUnanswered = now - claim.answeredAt >= kAnswerTimeout;
        if (isUnanswered)
            this->expectAt(claim.demand.servers, now + kNoAnswerPause);
        else if (claim.expiresAt <= now)
            this->expectAt(claim.demand.servers, claim.answeredAt + claim.wait);
        else
            continue;
        failed.push_back(id);
    }
    for (const ClaimId id : failed) {
        this->claims.erase(id);
        this->outcomes.push_back({id, false, 0});
    }
    return std::exchange(this->outcomes, {});
}

absl::Time TokenClaims::nextDueAt(absl::Time now) const
{
    absl::Time next = this->outcomes.empty() ? absl::InfiniteFuture() : now;
    for (const auto &[id, claim] : this->claims) {
        if (!claim.isGranted)
            next = std::min({next, claim.expiresAt, claim.answeredAt + kAnswerTimeout});
        if (!claim.isGranted || now - claim.grantedAt <= kMaxHold)
            next = std::min(next, claim.sentAt + kRenewInterval);
    }
    return next;
}

absl::Time TokenClaims::expectedAt(ServerKey server) const
{
    const auto found = this->expected.find(server);
    return found == this->expected.end() ? absl::InfinitePast() : found->second;
}

std::vector<ServerKey> TokenClaims::serversOf(ClaimId id) const
{
    const auto found = this->claims.find(id);
    return found == this->claims.end() ? std::vector<ServerKey>() : found->second.demand.servers;
}

void TokenClaims::onTick(absl::Time now)
{
    absl::erase_if(this->expected, [now](const auto &item) { return item.second <= now; });
    absl::erase_if(this->spent,
                   [now](const auto &item) { return now - item.second > kSpentRetention; });
}

} // namespace foxtailtally

#include "servers/limits/rate_limiter.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** How often news are sent, and the interval between two times. */
constexpr int kNewsRepeats = 3;
constexpr absl::Duration kNewsRepeatInterval = absl::Milliseconds(250);

/** Time for which the largest number of instances of the domain is remembered. Instances that have
 * failed or were cut off within it keep their share of the limits. */
constexpr absl::Duration kInstanceMemory = absl::Seconds(30);
constexpr absl::Duration kCountInterval = absl::Seconds(1);

/** Time after its last answer for which an issuer is asked directly. */
constexpr absl::Duration kHintTerm = absl::Milliseconds(500);

/** Wait that is stated when no issuer is known. */
constexpr absl::Duration kNoIssuerWait = absl::Milliseconds(250);

} // namespace

RateLimiter::RateLimiter(LimitTopology &topology, std::string ownAddress, ClaimId firstClaimId,
                         absl::Time startedAt)
    : topology(topology)
    , ownAddress(std::move(ownAddress))
    , startedAt(startedAt)
    , claims(this->ownAddress, firstClaimId, startedAt)
{ }

RateLimitChange RateLimiter::onNamed(ServerKey server, double requestsPerSecond, absl::Time now)
{
    return this->limits.onNamed(server, requestsPerSecond, now);
}

RateLimitChange RateLimiter::onNotNamed(ServerKey server, absl::Time requestSentAt, absl::Time now)
{
    return this->limits.onNotNamed(server, requestSentAt, now);
}

void RateLimiter::setColdLimits(std::span<const ServerLimit> cold, absl::Time now)
{
    this->coldLimits.clear();
    for (const ServerLimit &limit : cold)
        this->coldLimits[limit.server] = limit.requestsPerSecond;
    this->updateIssuer(now);
}

std::optional<double> RateLimiter::limitOf(ServerKey server) const
{
    const std::optional<double> named = this->limits.limitOf(server);
    const auto cold = this->coldLimits.find(server);
    if (cold == this->coldLimits.end())
        return named;
    return std::min(named.value_or(cold->second), cold->second);
}

std::vector<ServerLimit> RateLimiter::limitsInForce() const
{
    std::vector<ServerLimit> result = this->limits.inForce();
    for (ServerLimit &limit : result)
        limit.requestsPerSecond = this->limitOf(limit.server).value_or(limit.requestsPerSecond);
    for (const auto &[server, requestsPerSecond] : this->coldLimits) {
        if (!this->limits.limitOf(server))
            result.push_back({server, requestsPerSecond});
    }
    return result;
}

ClaimId RateLimiter::claim(TokenDemand demand, absl::Time now)
{
    return this->claims.claim(std::move(demand), now);
}

void RateLimiter::giveUp(ClaimId id, absl::Time now)
{
    this->route(this->claims.giveUp(id), now);
}

void RateLimiter::charge(ServerKey server, absl::Time now)
{
    if (this->isLimited(server))
        this->route(this->claims.charge(server), now);
}

LimitEnvelope &RateLimiter::envelopeTo(const std::string &address)
{
    const auto found =
        std::find_if(this->outgoing.begin(), this->outgoing.end(),
                     [&address](const LimitEnvelope &item) { return item.address == address; });
    if (found != this->outgoing.end())
        return *found;
    LimitEnvelope &added = this->outgoing.emplace_back();
    added.address = address;
    return added;
}

void RateLimiter::route(TokenClaim claim, absl::Time now)
{
    if (claim.servers.empty())
        return;
    const LimitTopology::IssuerRoute target = this->topology.issuerOf(claim.servers.front());
    switch (target.kind) {
    case LimitTopology::IssuerRoute::Kind::Self:
        this->updateIssuer(now);
        this->deliver(this->issuer.onClaim(claim, now), now);
        return;
    case LimitTopology::IssuerRoute::Kind::Remote: {
        const std::string hint = this->hintFor(claim.servers.front(), now);
        claim.isRelayed = claim.isRelayed || !hint.empty();
        this->envelopeTo(hint.empty() ? target.address : hint).claims.push_back(std::move(claim));
        return;
    }
    case LimitTopology::IssuerRoute::Kind::None:
        this->answerUnissued(claim, ClaimAnswer::Denied, now);
        return;
    }
}

void RateLimiter::answerUnissued(const TokenClaim &claim, ClaimAnswer answer, absl::Time now)
{
    if (claim.kind != ClaimKind::Request)
        return;
    const AddressedReply reply = {claim.replyAddress,
                                  {claim.id, answer, 0, kNoIssuerWait, claim.stamp}};
    this->deliver(std::span(&reply, 1), now);
}

std::string RateLimiter::hintFor(ServerKey server, absl::Time now) const
{
    const auto found = this->hints.find(server);
    if (found == this->hints.end() || now - found->second.answeredAt > kHintTerm)
        return {};
    return found->second.address;
}

void RateLimiter::updateHints(const TokenReply &reply, const std::string &source, absl::Time now)
{
    for (const ServerKey server : this->claims.serversOf(reply.id)) {
        if (reply.answer == ClaimAnswer::NotIssuer)
            this->hints.erase(server);
        else
            this->hints[server] = {source, now};
    }
}

void RateLimiter::deliver(std::span<const AddressedReply> replies, absl::Time now)
{
    for (const AddressedReply &item : replies) {
        if (item.address == this->ownAddress)
            this->handleReply(item.reply, now);
        else
            this->envelopeTo(item.address).replies.push_back(item.reply);
    }
}

void RateLimiter::handleReply(const TokenReply &reply, absl::Time now)
{
    for (TokenClaim &unused : this->claims.onReply(reply, now))
        this->route(std::move(unused), now);
}

std::vector<std::pair<LimitNews, RateLimitChange>> RateLimiter::onNews(const NewsMessage &message,
                                                                       absl::Time now)
{
    const bool isAggregator = this->topology.isAggregator();
    if (message.isFromAggregator && !isAggregator)
        this->recordDomainCount(message.domainInstances, now);
    std::vector<std::pair<LimitNews, RateLimitChange>> changes;
    for (const LimitNews &news : message.news) {
        const RateLimitChange change = this->limits.onNews(news, now);
        if (change != RateLimitChange::None)
            changes.emplace_back(news, change);
        // The aggregator of another domain tells the others itself.
        if (!message.isFromAggregator)
            continue;
        const std::optional<LimitNews> taken = this->limits.takeChange(news.server);
        if (taken && isAggregator)
            this->repeats.push_back({*taken, false, kNewsRepeats, now});
    }
    return changes;
}

void RateLimiter::onClaims(std::span<const TokenClaim> received, absl::Time now)
{
    for (const TokenClaim &claim : received) {
        if (claim.servers.empty())
            continue;
        const LimitTopology::IssuerRoute target = this->topology.issuerOf(claim.servers.front());
        const bool isIssuer = target.kind == LimitTopology::IssuerRoute::Kind::Self;
        if (!isIssuer && claim.isRelayed) {
            this->answerUnissued(claim, ClaimAnswer::NotIssuer, now);
            continue;
        }
        if (!isIssuer && !this->topology.isAggregator()) {
            this->answerUnissued(claim, ClaimAnswer::Denied, now);
            continue;
        }
        TokenClaim forwarded = claim;
        forwarded.isRelayed = true;
        this->route(std::move(forwarded), now);
    }
}

void RateLimiter::onReplies(std::span<const TokenReply> replies, const std::string &source,
                            absl::Time now)
{
    for (const TokenReply &reply : replies) {
        this->updateHints(reply, source, now);
        this->handleReply(reply, now);
    }
}

void RateLimiter::recordDomainCount(std::size_t instances, absl::Time now)
{
    std::erase_if(this->domainCounts,
                  [now](const Count &entry) { return now - entry.at > kInstanceMemory; });
    if (!this->domainCounts.empty() && this->domainCounts.back().instances >= instances
        && now - this->domainCounts.back().at < kCountInterval)
        return;
    this->domainCounts.push_back({now, instances});
}

std::size_t RateLimiter::rememberedInstances() const
{
    std::size_t most = 1;
    for (const Count &entry : this->domainCounts)
        most = std::max(most, entry.instances);
    return most;
}

std::size_t RateLimiter::sharingInstances(absl::Time now) const
{
    // A process that has just started remembers nobody, and may not hear the others.
    const bool isYoung = now - this->startedAt < kInstanceMemory;
    return std::max(this->rememberedInstances(),
                    isYoung ? this->topology.listedDomainInstances() : 1);
}

void RateLimiter::updateIssuer(absl::Time now)
{
    if (!this->topology.isAggregator()) {
        if (this->isIssuing)
            this->deliver(this->issuer.reset(), now);
        this->isIssuing = false;
        return;
    }
    this->isIssuing = true;
    this->recordDomainCount(this->topology.domainInstances(), now);
    const std::size_t lenders = this->topology.lenders(now);
    const std::size_t all = std::max(lenders, this->sharingInstances(now));
    std::vector<ServerLimit> own = this->limitsInForce();
    std::erase_if(own, [this](const ServerLimit &limit) {
        return this->topology.issuerOf(limit.server).kind != LimitTopology::IssuerRoute::Kind::Self;
    });
    this->issuer.setLimits(own, now);
    this->issuer.setShare(static_cast<double>(lenders) / static_cast<double>(all), now);
}

void RateLimiter::onTick(absl::Time now)
{
    this->limits.onTick(now);
    this->claims.onTick(now);
    absl::erase_if(this->hints,
                   [now](const auto &item) { return now - item.second.answeredAt > kHintTerm; });
    this->updateIssuer(now);
    if (this->isIssuing)
        this->deliver(this->issuer.onTick(now), now);
    this->queueFullNews();
}

absl::Time RateLimiter::nextWorkAt(absl::Time now) const
{
    absl::Time next = std::min(this->claims.nextDueAt(now), this->issuer.nextGrantAt(now));
    for (const Repeat &entry : this->repeats)
        next = std::min(next, entry.dueAt);
    return next;
}

std::vector<std::string> RateLimiter::newsReceivers(bool isForAllDomains) const
{
    if (!this->topology.isAggregator())
        return {this->topology.aggregatorAddress()};
    std::vector<std::string> receivers = this->topology.followerAddresses();
    if (isForAllDomains) {
        const std::vector<std::string> others = this->topology.otherAggregatorAddresses();
        receivers.insert(receivers.end(), others.begin(), others.end());
    }
    return receivers;
}

void RateLimiter::queueFullNews()
{
    if (this->limits.size() == 0) {
        this->informed.clear();
        return;
    }
    const std::vector<std::string> receivers = this->newsReceivers(true);
    const absl::flat_hash_set<std::string> current(receivers.begin(), receivers.end());
    absl::erase_if(this->informed,
                   [&current](const std::string &address) { return !current.contains(address); });
    const std::vector<LimitNews> all = this->limits.all();
    for (const std::string &address : receivers) {
        if (this->informed.insert(address).second)
            this->envelopeTo(address).news.news = all;
    }
}

void RateLimiter::queueNews(absl::Time now)
{
    for (const LimitNews &news : this->limits.takeChanges())
        this->repeats.push_back({news, true, kNewsRepeats, now});
    for (Repeat &entry : this->repeats) {
        if (entry.dueAt > now)
            continue;
        for (const std::string &address : this->newsReceivers(entry.isForAllDomains))
            this->envelopeTo(address).news.news.push_back(entry.news);
        --entry.left;
        entry.dueAt = now + kNewsRepeatInterval;
    }
    std::erase_if(this->repeats, [](const Repeat &entry) { return entry.left <= 0; });
}

std::vector<LimitEnvelope> RateLimiter::takeMessages(absl::Time now)
{
    for (TokenClaim &claim : this->claims.takeDue(now))
        this->route(std::move(claim), now);
    this->queueNews(now);
    for (LimitEnvelope &envelope : this->outgoing) {
        envelope.news.isFromAggregator = this->topology.isAggregator();
        envelope.news.domainInstances =
            static_cast<std::uint16_t>(std::min<std::size_t>(this->rememberedInstances(), 65535));
    }
    return std::exchange(this->outgoing, {});
}

} // namespace foxtailtally

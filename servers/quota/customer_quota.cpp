#include "servers/quota/customer_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailtally {

namespace {

/** Fraction of its level that a bucket in use retains when it lends tokens. */
constexpr double kRetainedFraction = 0.5;
/** Time after the last take or refusal at which a bucket counts as idle. */
constexpr absl::Duration kIdleThreshold = absl::Seconds(2);
/** Maximum number of customers in one request, so that it fits into a datagram. */
constexpr std::size_t kMaxCustomersPerRequest = 24;

std::int64_t tokensOf(const std::vector<QuotaAmount> &amounts, const CustomerId &customer)
{
    const auto found = std::find_if(amounts.begin(), amounts.end(),
                                    [&](const QuotaAmount &a) { return a.customer == customer; });
    return found == amounts.end() ? 0 : found->tokens;
}

} // namespace

CustomerQuota::CustomerQuota(const RosterMember &self, std::size_t domains, std::uint64_t seed)
    : self(self)
    , share(self, domains)
    , random(seed)
{ }

void CustomerQuota::setLimit(const CustomerId &customer, QuotaLimit limit, absl::Time now)
{
    const auto [entry, isNew] = this->buckets.try_emplace(customer);
    Bucket &bucket = entry->second;
    if (isNew)
        bucket.filledAt = now;
    this->refill(bucket, now);
    bucket.limit = limit;
    bucket.level = std::min(bucket.level, this->capacity(bucket));
}

void CustomerQuota::removeLimit(const CustomerId &customer)
{
    this->buckets.erase(customer);
}

void CustomerQuota::setRoster(const Roster &roster, absl::Time now)
{
    for (auto &[customer, bucket] : this->buckets)
        this->refill(bucket, now);
    this->share.adopt(roster);
    for (auto &[customer, bucket] : this->buckets)
        bucket.level = std::min(bucket.level, this->capacity(bucket));
}

void CustomerQuota::updateShare(
    absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished,
    absl::Time now)
{
    // Refill for the time before the change with the share that applied then.
    for (auto &[customer, bucket] : this->buckets)
        this->refill(bucket, now);
    this->share.update(hasRelinquished, now);
}

double CustomerQuota::capacity(const Bucket &bucket) const
{
    double room = bucket.limit.burst * this->share.fraction();
    for (const Lent &lent : bucket.lent)
        room -= lent.tokens;
    return std::max(0.0, room);
}

void CustomerQuota::refill(Bucket &bucket, absl::Time now) const
{
    if (now <= bucket.filledAt)
        return;
    const double seconds = absl::ToDoubleSeconds(now - bucket.filledAt);
    bucket.filledAt = now;
    // Capacity that expired grants free is refilled from now on, not for the elapsed time.
    const double before = this->capacity(bucket);
    const double added = seconds * bucket.limit.rate * this->share.fraction() * kQuotaClockFactor;
    bucket.level = std::min(before, bucket.level + added);
    std::erase_if(bucket.lent, [&](const Lent &lent) { return now >= lent.reclaimAt; });
    absl::erase_if(bucket.borrowed,
                   [&](const auto &entry) { return now >= entry.second.validUntil; });
}

Refusal CustomerQuota::tryTake(const CustomerId &customer, std::int64_t tokens, absl::Time now)
{
    const auto found = this->buckets.find(customer);
    if (found == this->buckets.end())
        return {RefusalReason::UnknownCustomer, true, absl::ZeroDuration()};
    Bucket &bucket = found->second;
    this->refill(bucket, now);
    bucket.usedAt = now;
    double available = bucket.level;
    for (const auto &[lender, borrowed] : bucket.borrowed)
        available += borrowed.tokens;
    auto needed = static_cast<double>(tokens);
    if (available < needed) {
        bucket.shortage = std::max(bucket.shortage, needed - available);
        if (needed > bucket.limit.burst)
            return {RefusalReason::QuotaExceeded, true, absl::ZeroDuration()};
        const double seconds = (needed - available) / std::max(bucket.limit.rate, 1e-9);
        return {RefusalReason::QuotaExceeded, true,
                std::max(kQuotaRequestInterval, absl::Seconds(std::min(seconds, 3600.0)))};
    }
    // Borrowed tokens expire, so they are spent first.
    for (auto &[lender, borrowed] : bucket.borrowed) {
        const double part = std::min(needed, borrowed.tokens);
        borrowed.tokens -= part;
        needed -= part;
    }
    bucket.level = std::max(0.0, bucket.level - needed);
    return {};
}

void CustomerQuota::refund(const CustomerId &customer, std::int64_t tokens, absl::Time now)
{
    const auto found = this->buckets.find(customer);
    if (found == this->buckets.end())
        return;
    Bucket &bucket = found->second;
    this->refill(bucket, now);
    bucket.level = std::min(this->capacity(bucket), bucket.level + static_cast<double>(tokens));
}

void CustomerQuota::reconcileLent(const QuotaRequest &request)
{
    if (request.acknowledgedIncarnation != this->self.incarnation)
        return;
    for (auto &[customer, bucket] : this->buckets) {
        auto left = static_cast<double>(tokensOf(request.unspent, customer));
        for (Lent &lent : bucket.lent) {
            if (lent.borrower != request.sender || lent.grant > request.acknowledgedGrant)
                continue;
            lent.tokens = std::min(lent.tokens, left);
            left -= lent.tokens;
        }
        std::erase_if(bucket.lent, [](const Lent &lent) { return lent.tokens <= 0; });
    }
}

QuotaActions CustomerQuota::onRequest(const QuotaRequest &request, absl::Time now)
{
    BorrowerState &borrower = this->borrowers[request.sender.instance];
    const bool isOlder = request.sender.incarnation < borrower.incarnation
        || (request.sender.incarnation == borrower.incarnation
            && request.sentAt <= borrower.lastSentAt);
    if (isOlder)
        return {};
    borrower = {request.sender.incarnation, request.sentAt};
    for (auto &[customer, bucket] : this->buckets)
        this->refill(bucket, now);
    this->reconcileLent(request);
    QuotaGrant grant {this->self, request.sender, ++this->grants, request.sentAt, {}};
    for (const QuotaAmount &wanted : request.wanted) {
        const auto found = this->buckets.find(wanted.customer);
        if (found == this->buckets.end())
            continue;
        Bucket &bucket = found->second;
        const bool isIdle = now >= bucket.usedAt + kIdleThreshold;
        const double spare = std::floor(isIdle ? bucket.level : bucket.level * kRetainedFraction);
        const double tokens = std::min(spare, static_cast<double>(wanted.tokens));
        if (tokens < 1)
            continue;
        bucket.level -= tokens;
        bucket.lent.push_back({request.sender, grant.sequence, tokens, now + kQuotaReclaimDelay});
        grant.granted.push_back({wanted.customer, static_cast<std::int64_t>(tokens)});
    }
    // An empty grant is sent too: the borrower's next request acknowledges it and reports how
    // much of the earlier grants is unspent.
    QuotaActions actions;
    actions.emplace_back(SendQuotaGrant {request.sender.instance, std::move(grant)});
    return actions;
}

std::error_code CustomerQuota::onGrant(const QuotaGrant &grant, absl::Time now)
{
    if (grant.borrower != this->self)
        return make_error_code(Error::MessageStaleIncarnation);
    LenderState &lender = this->lenders[grant.lender.instance];
    if (grant.lender.incarnation < lender.incarnation)
        return make_error_code(Error::MessageStaleIncarnation);
    if (grant.lender.incarnation == lender.incarnation && grant.sequence <= lender.lastGrant)
        return make_error_code(Error::DocumentStale);
    lender = {grant.lender.incarnation, grant.sequence};
    const absl::Time validUntil = absl::FromUnixNanos(grant.requestSentAt) + kQuotaGrantLifetime;
    for (const QuotaAmount &amount : grant.granted) {
        const auto found = this->buckets.find(amount.customer);
        if (found == this->buckets.end() || now >= validUntil)
            continue;
        this->refill(found->second, now);
        Borrowed &borrowed = found->second.borrowed[grant.lender.instance];
        // All tokens of a lender share one expiry, so it must not exceed that of the earlier grant.
        if (borrowed.tokens > 0)
            borrowed.validUntil = std::min(borrowed.validUntil, validUntil);
        else
            borrowed.validUntil = validUntil;
        borrowed.tokens += static_cast<double>(amount.tokens);
    }
    return {};
}

std::vector<InstanceId> CustomerQuota::choosePeers(std::size_t count)
{
    std::vector<InstanceId> peers;
    for (const RosterMember &member : this->share.members())
        if (member.instance != this->self.instance)
            peers.push_back(member.instance);
    const std::size_t taken = std::min(count, peers.size());
    for (std::size_t i = 0; i < taken; ++i)
        std::swap(peers[i], peers[i + this->random.below(peers.size() - i)]);
    peers.resize(taken);
    return peers;
}

QuotaActions CustomerQuota::onTick(absl::Time now)
{
    if (now < this->nextRequestAt)
        return {};
    this->nextRequestAt = now + kQuotaRequestInterval;
    std::vector<QuotaAmount> wanted;
    std::size_t peers = 0;
    for (auto &[customer, bucket] : this->buckets) {
        const double shortage = std::exchange(bucket.shortage, 0);
        if (shortage <= 0 || wanted.size() >= kMaxCustomersPerRequest)
            continue;
        wanted.push_back({customer, static_cast<std::int64_t>(std::ceil(shortage))});
        const double expectedPerPeer =
            std::max(1.0, bucket.limit.burst * this->share.fraction() / 2);
        const double needed =
            std::min(std::ceil(shortage / expectedPerPeer) + 1, 1.0 * kMaxQuotaPeers);
        peers = std::max(peers, static_cast<std::size_t>(needed));
    }
    QuotaActions actions;
    if (wanted.empty())
        return actions;
    for (const InstanceId &peer : this->choosePeers(peers)) {
        QuotaRequest request;
        request.sender = this->self;
        this->lastSentAt = std::max(this->lastSentAt + 1, absl::ToUnixNanos(now));
        request.sentAt = this->lastSentAt;
        const LenderState &lender = this->lenders[peer];
        request.acknowledgedIncarnation = lender.incarnation;
        request.acknowledgedGrant = lender.lastGrant;
        request.wanted = wanted;
        for (auto &[customer, bucket] : this->buckets) {
            this->refill(bucket, now);
            const auto borrowed = bucket.borrowed.find(peer);
            if (borrowed != bucket.borrowed.end() && borrowed->second.tokens > 0)
                request.unspent.push_back(
                    {customer, static_cast<std::int64_t>(std::ceil(borrowed->second.tokens))});
        }
        actions.emplace_back(SendQuotaRequest {peer, std::move(request)});
    }
    return actions;
}

} // namespace foxtailtally

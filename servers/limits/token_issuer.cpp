#include "servers/limits/token_issuer.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace foxtailtally {

namespace {

/** One of so many grants of a server goes to the next claim in the order of arrival. */
constexpr int kGrantsPerTurn = 3;

/** A claim joins the order of arrival if its turn comes within this time, or if it is the first:
 * claims that wait longer would fill the queue and leave no turn to the others. */
constexpr absl::Duration kTurnHorizon = absl::Milliseconds(150);

/** Time without a renewal after which a queued claim is dropped; its claimant has gone. */
constexpr absl::Duration kRenewTimeout = absl::Milliseconds(500);

/** Time for which settled claims are remembered; longer than a claim is repeated. */
constexpr absl::Duration kSettledRetention = absl::Seconds(3);
constexpr std::size_t kMaxSettled = 8192;

/** Ratio of the rate of issue to the limit, for the rate error of this instance's clock. */
constexpr double kClockFactor = 0.99;

/** Longest wait that is stated; limits and queues change meanwhile. */
constexpr absl::Duration kMaxWait = absl::Seconds(30);

/** Added to the time of the next grant, at which rounding may leave a bucket just short of a token.
 */
constexpr absl::Duration kGrantRounding = absl::Microseconds(100);

/** Wait that is stated while no share of the limits is lent to this issuer, as after its start. */
constexpr absl::Duration kNoShareWait = absl::Milliseconds(250);

/** Wait that is stated for a server whose limit is not known here yet. */
constexpr absl::Duration kUnknownServerWait = absl::Milliseconds(100);

bool lists(const TokenClaim &claim, ServerKey server)
{
    return std::find(claim.servers.begin(), claim.servers.end(), server) != claim.servers.end();
}

/** Share of the servers of @p other that @p claim lists too: how likely it is that @p other takes a
 * token which @p claim could have. */
double competition(const TokenClaim &other, const TokenClaim &claim)
{
    const auto common = std::count_if(other.servers.begin(), other.servers.end(),
                                      [&claim](ServerKey server) { return lists(claim, server); });
    return static_cast<double>(common) / static_cast<double>(other.servers.size());
}

AddressedReply replyTo(const TokenClaim &claim, ClaimAnswer answer, ServerKey server,
                       absl::Duration wait)
{
    return {claim.replyAddress, {claim.id, answer, server, wait, claim.stamp}};
}

} // namespace

void TokenIssuer::setLimits(std::span<const ServerLimit> limits, absl::Time now)
{
    absl::flat_hash_set<ServerKey> listed;
    for (const ServerLimit &limit : limits) {
        listed.insert(limit.server);
        const auto [found, isNew] = this->buckets.try_emplace(limit.server);
        Bucket &bucket = found->second;
        if (isNew)
            bucket.filledAt = now;
        this->refill(bucket, now);
        bucket.requestsPerSecond = std::max(limit.requestsPerSecond, kMinRate);
    }
    absl::erase_if(this->buckets,
                   [&listed](const auto &item) { return !listed.contains(item.first); });
}

void TokenIssuer::setShare(double newShare, absl::Time now)
{
    // Refill for the time before the change with the share that applied then.
    for (auto &[server, bucket] : this->buckets)
        this->refill(bucket, now);
    this->share = newShare;
}

std::vector<AddressedReply> TokenIssuer::reset()
{
    std::vector<AddressedReply> replies;
    for (const Pending &entry : this->pending)
        replies.push_back(replyTo(entry.claim, ClaimAnswer::Denied, 0, absl::ZeroDuration()));
    this->pending.clear();
    this->buckets.clear();
    this->share = 0;
    return replies;
}

double TokenIssuer::rate(const Bucket &bucket) const
{
    return bucket.requestsPerSecond * this->share * kClockFactor;
}

double TokenIssuer::levelAt(const Bucket &bucket, absl::Time now) const
{
    const double capacity =
        kBurstTokens + bucket.requestsPerSecond * absl::ToDoubleSeconds(kBurstTime);
    const double added = this->rate(bucket) * absl::ToDoubleSeconds(now - bucket.filledAt);
    return std::min(capacity, bucket.level + std::max(0.0, added));
}

void TokenIssuer::refill(Bucket &bucket, absl::Time now) const
{
    bucket.level = this->levelAt(bucket, now);
    bucket.filledAt = std::max(bucket.filledAt, now);
}

std::vector<AddressedReply> TokenIssuer::onClaim(const TokenClaim &claim, absl::Time now)
{
    if (claim.kind == ClaimKind::Charge) {
        this->charge(claim, now);
        return {};
    }
    if (claim.kind == ClaimKind::Return) {
        this->giveBack(claim, now);
        return {};
    }
    if (const auto found = this->settled.find(claim.id); found != this->settled.end()) {
        // The grant was lost on its way; the tokens were taken then.
        if (!found->second.isGranted)
            return {};
        return {replyTo(claim, ClaimAnswer::Granted, found->second.server, absl::ZeroDuration())};
    }
    const auto known =
        std::find_if(this->pending.begin(), this->pending.end(),
                     [&claim](const Pending &entry) { return entry.claim.id == claim.id; });
    const bool isRepeated = known != this->pending.end();
    if (isRepeated) {
        known->claim = claim;
        known->renewedAt = now;
        known->expiresAt = now + claim.patience;
    } else {
        Pending entry = {claim, now, now, now + claim.patience, false};
        entry.hasTurn = this->mayTakeTurn(entry, now);
        const absl::Duration wait = this->expectedWait(entry, now);
        if (wait > claim.patience || this->share <= 0)
            return {replyTo(claim, ClaimAnswer::Denied, 0, wait)};
        this->pending.push_back(entry);
    }
    std::vector<AddressedReply> replies;
    if (this->pending.size() > kMaxPending)
        this->denyLeastWorthy(now, replies);
    this->grantReady(now, replies);
    const auto queued =
        std::find_if(this->pending.begin(), this->pending.end(),
                     [&claim](const Pending &entry) { return entry.claim.id == claim.id; });
    // Most claims are granted before they are repeated; only then the claimant needs an answer.
    if (isRepeated && queued != this->pending.end())
        replies.push_back(replyTo(claim, ClaimAnswer::Queued, 0, this->expectedWait(*queued, now)));
    return replies;
}

void TokenIssuer::charge(const TokenClaim &claim, absl::Time now)
{
    if (this->settled.contains(claim.id) || claim.servers.empty())
        return;
    this->settled[claim.id] = {now, false, claim.servers.front()};
    const auto found = this->buckets.find(claim.servers.front());
    if (found == this->buckets.end())
        return;
    this->refill(found->second, now);
    found->second.level -= 1;
}

void TokenIssuer::giveBack(const TokenClaim &claim, absl::Time now)
{
    std::erase_if(this->pending,
                  [&claim](const Pending &entry) { return entry.claim.id == claim.id; });
    Settled &entry = this->settled[claim.id];
    const auto bucket = this->buckets.find(entry.server);
    if (entry.isGranted && bucket != this->buckets.end()) {
        this->refill(bucket->second, now);
        bucket->second.level += 1;
    }
    // A copy of the claim that arrives later is not granted.
    entry = {now, false, 0};
}

TokenIssuer::Outlook TokenIssuer::outlook(const Pending &entry, absl::Time now) const
{
    double total = 0;
    double level = 0;
    bool isKnown = false;
    for (const ServerKey server : entry.claim.servers) {
        const auto found = this->buckets.find(server);
        if (found == this->buckets.end())
            continue;
        isKnown = true;
        total += this->rate(found->second);
        level += this->levelAt(found->second, now);
    }
    if (!isKnown)
        return {kUnknownServerWait, kUnknownServerWait, 0};
    if (total <= 0)
        return {kNoShareWait, kNoShareWait, 0};
    double worthier = 0;
    double turns = 0;
    for (const Pending &other : this->pending) {
        if (other.claim.id == entry.claim.id)
            continue;
        const double taken = competition(other.claim, entry.claim);
        const bool isOlder = other.queuedAt <= entry.queuedAt;
        const bool isWorthier = other.claim.worth > entry.claim.worth
            || (other.claim.worth == entry.claim.worth && isOlder);
        worthier += isWorthier ? taken : 0;
        turns += isOlder && other.hasTurn ? taken : 0;
    }
    const auto timeFor = [total](double tokens) {
        return std::min(absl::Seconds(std::max(0.0, tokens) / total), kMaxWait);
    };
    const double missing = 1.0 - level;
    return {timeFor(worthier + missing), timeFor((turns + missing) * kGrantsPerTurn), turns};
}

absl::Duration TokenIssuer::expectedWait(const Pending &entry, absl::Time now) const
{
    const Outlook outlook = this->outlook(entry, now);
    return entry.hasTurn ? std::min(outlook.byWorth, outlook.byTurn) : outlook.byWorth;
}

bool TokenIssuer::mayTakeTurn(const Pending &entry, absl::Time now) const
{
    const Outlook outlook = this->outlook(entry, now);
    return outlook.byTurn <= entry.claim.patience
        && (outlook.turnsAhead < 1 || outlook.byTurn <= kTurnHorizon);
}

std::optional<std::size_t> TokenIssuer::nextClaim(ServerKey server, bool isTurn) const
{
    std::optional<std::size_t> worthiest;
    for (std::size_t i = 0; i < this->pending.size(); ++i) {
        const Pending &entry = this->pending[i];
        if (!lists(entry.claim, server))
            continue;
        if (isTurn && entry.hasTurn)
            return i;
        if (!worthiest || entry.claim.worth > this->pending[*worthiest].claim.worth)
            worthiest = i;
    }
    return worthiest;
}

void TokenIssuer::grantReady(absl::Time now, std::vector<AddressedReply> &replies)
{
    for (auto &[server, bucket] : this->buckets) {
        this->refill(bucket, now);
        while (bucket.level >= 1.0) {
            const bool isTurn = bucket.grantsSinceTurn + 1 >= kGrantsPerTurn;
            const std::optional<std::size_t> next = this->nextClaim(server, isTurn);
            if (!next)
                break;
            const TokenClaim claim = this->pending[*next].claim;
            const bool wasTurn = isTurn && this->pending[*next].hasTurn;
            this->pending.erase(this->pending.begin() + static_cast<std::ptrdiff_t>(*next));
            bucket.level -= 1;
            bucket.grantsSinceTurn = wasTurn ? 0 : bucket.grantsSinceTurn + 1;
            this->settled[claim.id] = {now, true, server};
            replies.push_back(replyTo(claim, ClaimAnswer::Granted, server, absl::ZeroDuration()));
        }
    }
}

void TokenIssuer::denyHopeless(absl::Time now, std::vector<AddressedReply> &replies)
{
    for (std::size_t i = 0; i < this->pending.size();) {
        const Pending entry = this->pending[i];
        const bool isGone = entry.expiresAt <= now || now - entry.renewedAt > kRenewTimeout;
        const absl::Duration wait = this->expectedWait(entry, now);
        if (!isGone && wait <= entry.expiresAt - now) {
            ++i;
            continue;
        }
        this->pending.erase(this->pending.begin() + static_cast<std::ptrdiff_t>(i));
        if (!isGone)
            replies.push_back(replyTo(entry.claim, ClaimAnswer::Denied, 0, wait));
    }
}

void TokenIssuer::denyLeastWorthy(absl::Time now, std::vector<AddressedReply> &replies)
{
    // The newest of several, which is the last of them.
    const auto least = std::min_element(
        this->pending.rbegin(), this->pending.rend(),
        [](const Pending &a, const Pending &b) { return a.claim.worth < b.claim.worth; });
    replies.push_back(
        replyTo(least->claim, ClaimAnswer::Denied, 0, this->expectedWait(*least, now)));
    this->pending.erase(std::next(least).base());
}

std::vector<AddressedReply> TokenIssuer::onTick(absl::Time now)
{
    std::vector<AddressedReply> replies;
    this->grantReady(now, replies);
    this->denyHopeless(now, replies);
    absl::erase_if(this->settled,
                   [now](const auto &item) { return now - item.second.at > kSettledRetention; });
    if (this->settled.size() > kMaxSettled)
        this->settled.clear();
    return replies;
}

absl::Time TokenIssuer::nextGrantAt(absl::Time now) const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto &[server, bucket] : this->buckets) {
        const double rate = this->rate(bucket);
        if (rate <= 0 || !this->nextClaim(server, false))
            continue;
        const double missing = 1.0 - this->levelAt(bucket, now);
        next = std::min(next, now + absl::Seconds(std::max(0.0, missing) / rate) + kGrantRounding);
    }
    return next;
}

} // namespace foxtailtally

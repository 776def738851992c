#include "servers/usage/usage_distributor.h"

#include <absl/container/btree_set.h>
#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Interval of the rows of this instance: not shorter than this, and longer in a large fleet, whose
 * aggregators receive many rows. */
constexpr absl::Duration kMinInterval = absl::Milliseconds(250);
constexpr absl::Duration kIntervalPerInstance = absl::Milliseconds(3);
/** Rows that are older than UsageLedger::kSilence when they have passed two instances would make
 * live instances seem silent. */
constexpr absl::Duration kMaxInterval = absl::Seconds(1);
/** The same between aggregators, which send the rows of many instances. */
constexpr int kOthersIntervalFactor = 2;
constexpr absl::Duration kMaxOthersInterval = absl::Milliseconds(1250);

/** A change is sent to the aggregator of the domain in this many further datagrams. */
constexpr std::size_t kRepeats = 2;

/** Interval at which the holder repeats its announcement, and at which the instances of a domain
 * get it while the holder stays the same. Only aggregators act on it. */
constexpr absl::Duration kLeaseInterval = absl::Milliseconds(250);
constexpr absl::Duration kFollowerLeaseInterval = absl::Seconds(2);

/** Interval of requests for rows, in all and for one row (longer if the process is silent or only
 * old windows are affected), and the number of rows that are requested at once: a whole row takes
 * several datagrams. */
constexpr absl::Duration kRequestInterval = absl::Milliseconds(100);
constexpr absl::Duration kRowRequestInterval = absl::Milliseconds(500);
constexpr absl::Duration kMaxRowRequestInterval = absl::Seconds(3);
constexpr std::size_t kMaxRequests = 8;

/** Rows of ended processes that are sent at once. An aggregator that has just taken over or been
 * restarted does not have those of the processes that ended with its predecessor. */
constexpr std::size_t kMaxEndedRows = 16;

} // namespace

absl::Duration UsageDistributor::interval() const
{
    const auto instances = static_cast<std::int64_t>(this->topology.instances());
    return std::clamp(kIntervalPerInstance * instances, kMinInterval, kMaxInterval);
}

void UsageDistributor::onTick(absl::Time now)
{
    this->updateRole(now);
    const absl::Duration interval = this->interval();
    if (now - this->rowsSentAt >= interval) {
        this->rowsSentAt = now;
        this->mergeOwn(now);
        this->ledger.onTick(now);
        this->ledger.setListed(this->topology.listed());
        this->sendRowsToAggregator(now);
    }
    if (now - this->otherRowsSentAt
        >= std::min(kMaxOthersInterval, interval * kOthersIntervalFactor)) {
        this->otherRowsSentAt = now;
        this->sendRowsToOthers(now);
    }
    if (now - this->requestsSentAt >= kRequestInterval) {
        this->requestsSentAt = now;
        this->sendRequests(now);
    }
    if (this->isHolder && now - this->leaseRepeatedAt >= kLeaseInterval) {
        this->leaseRepeatedAt = now;
        this->leaseSentAt = now;
        this->sendLease(this->aggregatorAddresses(), now);
    }
    const bool isKnown = this->lease && now - this->leaseSentAt < kFollowerLeaseInterval;
    if (isKnown && now - this->followersToldAt >= kFollowerLeaseInterval) {
        this->followersToldAt = now;
        this->sendLease(this->topology.followerAddresses(), now);
    }
}

void UsageDistributor::updateRole(absl::Time now)
{
    if (this->topology.aggregatorAddress().empty())
        this->aggregatesSince = std::min(this->aggregatesSince, now);
    else
        this->aggregatesSince = absl::InfiniteFuture();
    // A receiver that is followed again later has missed changes and is sent everything.
    const std::vector<std::string> addresses = this->aggregatorAddresses();
    const absl::btree_set<std::string> current(addresses.begin(), addresses.end());
    absl::erase_if(this->receivers,
                   [&current](const auto &item) { return !current.contains(item.first); });
    for (const std::string &address : current)
        this->receivers.try_emplace(address);
}

std::vector<std::string> UsageDistributor::aggregatorAddresses() const
{
    std::vector<std::string> addresses;
    if (std::string own = this->topology.aggregatorAddress(); !own.empty())
        addresses.push_back(std::move(own));
    for (const InstanceRecord &other : this->topology.otherAggregators())
        addresses.push_back(other.exchangeAddress);
    return addresses;
}

void UsageDistributor::mergeOwn(absl::Time now)
{
    this->ledger.merge(this->counter.takeChanges(now), now);
}

void UsageDistributor::sendRowsToAggregator(absl::Time now)
{
    if (const std::string address = this->topology.aggregatorAddress(); !address.empty())
        this->sendRows(address, kRepeats, true, now);
}

void UsageDistributor::sendRowsToOthers(absl::Time now)
{
    for (const InstanceRecord &other : this->topology.otherAggregators()) {
        const bool isHolding =
            this->lease && !this->lease->isReleased && this->lease->holder == other.id;
        this->sendRows(other.exchangeAddress, 0, isHolding, now);
        this->sendEndedRows(other, now);
    }
}

void UsageDistributor::sendEndedRows(const InstanceRecord &aggregator, absl::Time now)
{
    Receiver &receiver = this->receivers[aggregator.exchangeAddress];
    std::vector<UsageRow> rows = this->ledger.endedRows(aggregator.domain, now);
    std::stable_sort(rows.begin(), rows.end(), [&](const UsageRow &a, const UsageRow &b) {
        return receiver.endedSent[a.source] < receiver.endedSent[b.source];
    });
    UsageEnvelope envelope;
    for (UsageRow &row : rows) {
        std::size_t &sent = receiver.endedSent[row.source];
        if (sent > kRepeats || envelope.rows.size() == kMaxEndedRows)
            break;
        ++sent;
        row.demand.clear();
        envelope.rows.push_back(std::move(row));
    }
    this->send(aggregator.exchangeAddress, std::move(envelope));
}

void UsageDistributor::sendRows(const std::string &address, std::size_t repeats, bool withDemand,
                                absl::Time now)
{
    Receiver &receiver = this->receivers[address];
    const bool isNew = receiver.sentVersions.empty();
    const std::int64_t current = usageWindowAt(now, this->counter.windowLength());
    UsageEnvelope envelope;
    // Older windows of a new receiver are requested, at a bounded rate.
    if (isNew)
        envelope.rows =
            this->ledger.changesSince(0, this->counter.ownDomain(), current - kRecentUsageWindows);
    else
        envelope.rows =
            this->ledger.changesSince(receiver.sentVersions.front(), this->counter.ownDomain());
    if (!withDemand) {
        for (UsageRow &row : envelope.rows)
            row.demand.clear();
    }
    receiver.sentVersions.push_back(this->ledger.version());
    while (receiver.sentVersions.size() > repeats + 1)
        receiver.sentVersions.pop_front();
    this->send(address, std::move(envelope));
}

void UsageDistributor::send(const std::string &address, UsageEnvelope envelope)
{
    if (!address.empty() && !envelope.isEmpty())
        this->messages.push_back({address, std::move(envelope)});
}

std::vector<UsageMessage> UsageDistributor::takeMessages()
{
    return std::exchange(this->messages, {});
}

void UsageDistributor::sendRequests(absl::Time now)
{
    absl::btree_map<std::string, UsageEnvelope> requests;
    std::size_t count = 0;
    for (const UsageGap &gap : this->ledger.gaps(now)) {
        const auto found = this->origins.find(gap.source);
        if (found == this->origins.end())
            continue;
        Origin &origin = found->second;
        const bool isUrgent = gap.isRecent && now - origin.heardAt <= UsageLedger::kSilence;
        if (now - origin.requestedAt < (isUrgent ? kRowRequestInterval : kMaxRowRequestInterval))
            continue;
        origin.requestedAt = now;
        requests[origin.address].requests.push_back({gap.source, !isUrgent, gap.known});
        if (++count == kMaxRequests)
            break;
    }
    for (const auto &[address, envelope] : requests)
        this->send(address, envelope);
    absl::erase_if(this->origins, [this, now](const auto &item) {
        return now - item.second.heardAt > this->counter.windowLength() * kUsageWindows;
    });
}

std::size_t UsageDistributor::onEnvelope(const UsageEnvelope &envelope, const std::string &source,
                                         absl::Time now)
{
    std::size_t ignored = 0;
    for (const UsageRow &row : envelope.rows) {
        if (row.source == this->counter.source())
            continue;
        if (!this->ledger.merge(row, now)) {
            ++ignored;
            continue;
        }
        Origin &origin = this->origins[row.source];
        origin.address = source;
        origin.heardAt = std::max(origin.heardAt, row.heardAt);
    }
    for (const UsageRowRequest &request : envelope.requests)
        this->onRequest(request, source);
    if (envelope.lease)
        this->onLease(envelope, source, now);
    return ignored;
}

void UsageDistributor::onRequest(const UsageRowRequest &request, const std::string &source)
{
    std::optional<UsageRow> row = request.isWhole
        ? this->ledger.row(request.source)
        : this->ledger.differences(request.source, request.known);
    if (!row)
        return;
    row->demand.clear();
    UsageEnvelope envelope;
    envelope.rows.push_back(std::move(*row));
    this->send(source, std::move(envelope));
}

void UsageDistributor::announce(const std::optional<LeaseAnnouncement> &announcement,
                                absl::Time now)
{
    if (!announcement) {
        this->isHolder = false;
        return;
    }
    this->isHolder = !announcement->isReleased;
    if (this->lease == announcement)
        return;
    const bool isHolderChanged = !this->lease || this->lease->token != announcement->token
        || this->lease->isReleased != announcement->isReleased;
    this->lease = announcement;
    this->leaseSentAt = now;
    this->leaseRepeatedAt = now;
    this->sendLease(this->aggregatorAddresses(), now);
    if (isHolderChanged) {
        this->followersToldAt = now;
        this->sendLease(this->topology.followerAddresses(), now);
    }
}

void UsageDistributor::onLease(const UsageEnvelope &envelope, const std::string &source,
                               absl::Time now)
{
    const LeaseAnnouncement &received = *envelope.lease;
    const absl::Time sentAt = now - envelope.leaseAge;
    if (this->isHolder || (this->lease && received.position < this->lease->position)
        || sentAt < this->leaseSentAt)
        return;
    const bool isHolderChanged = !this->lease || this->lease->token != received.token
        || this->lease->isReleased != received.isReleased;
    const bool isNew = this->lease != received;
    this->lease = received;
    this->leaseSentAt = sentAt;
    const std::vector<std::string> followers = this->topology.followerAddresses();
    // The holder may be a follower for a short time after another instance became the aggregator.
    const bool isFromFollower =
        std::find(followers.begin(), followers.end(), source) != followers.end();
    if (isNew && isFromFollower)
        this->sendLease(this->aggregatorAddresses(), now);
    if (isHolderChanged) {
        this->followersToldAt = now;
        this->sendLease(followers, now);
    }
}

void UsageDistributor::sendLease(const std::vector<std::string> &addresses, absl::Time now)
{
    UsageEnvelope envelope;
    envelope.lease = this->lease;
    envelope.leaseAge = now - this->leaseSentAt;
    for (const std::string &address : addresses)
        this->send(address, envelope);
}

void UsageDistributor::finish(absl::Time now)
{
    this->counter.end();
    this->mergeOwn(now);
    this->sendRowsToOthers(now);
    // The row cannot be requested after the process has ended, so it is sent as often as a change.
    const std::int64_t current = usageWindowAt(now, this->counter.windowLength());
    UsageEnvelope envelope;
    envelope.rows = {*this->ledger.row(this->counter.source(), current - kRecentUsageWindows)};
    for (std::size_t i = 0; i <= kRepeats; ++i) {
        for (const auto &[address, receiver] : this->receivers)
            this->send(address, envelope);
    }
}

} // namespace foxtailtally

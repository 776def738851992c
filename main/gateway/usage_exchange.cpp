#include "main/gateway/usage_exchange.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "peers/instance/usage_message.h"

#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

constexpr absl::Duration kWorkInterval = absl::Milliseconds(50);

constexpr std::string_view kUsageBytes = "foxtailtally_usage_bytes_total";

} // namespace

UsageExchange::UsageExchange(event_base *base, InstanceExchange &exchange, UsageCounter &counter,
                             UsageLedger &ledger, Metrics &metrics)
    : exchange(exchange)
    , metrics(metrics)
    , distributor(*this, counter, ledger)
    , workTimer(base, [this] { this->onWork(); })
{
    UsageDatagrams *receiver = this;
    this->exchange.setUsageReceiver(receiver);
}

UsageExchange::~UsageExchange()
{
    this->exchange.setUsageReceiver(nullptr);
}

void UsageExchange::start()
{
    this->workTimer.start(kWorkInterval);
}

void UsageExchange::onWork()
{
    this->workTimer.start(kWorkInterval);
    const absl::Time now = Clock::now();
    this->distributor.onTick(now);
    this->send(now);
}

void UsageExchange::announce(const std::optional<LeaseAnnouncement> &announcement, absl::Time now)
{
    this->distributor.announce(announcement, now);
    this->send(now);
}

void UsageExchange::finish(absl::Time now)
{
    this->workTimer.stop();
    this->distributor.finish(now);
    this->send(now);
}

void UsageExchange::send(absl::Time now)
{
    for (const UsageMessage &message : this->distributor.takeMessages()) {
        for (const std::string &datagram : encodeUsageEnvelope(message.envelope, now)) {
            this->metrics.counter(kUsageBytes, {{"direction", "sent"}}).add(datagram.size());
            this->exchange.sendTo(message.address, datagram);
        }
    }
}

void UsageExchange::onUsageDatagram(std::span<const char> bytes, const std::string &source,
                                    absl::Time now)
{
    this->metrics.counter(kUsageBytes, {{"direction", "received"}}).add(bytes.size());
    const Result<UsageEnvelope> decoded = decodeUsageEnvelope(bytes, now);
    if (!decoded.ok()) {
        this->metrics.counter(kMalformedDatagrams).add();
        logEvent(LogLevel::Warning, "peer_message_malformed",
                 {{"bytes", bytes.size()}, {"error", errorName(decoded.error())}});
        return;
    }
    if (const std::size_t ignored = this->distributor.onEnvelope(*decoded, source, now))
        this->metrics.counter("foxtailtally_usage_rows_ahead_total").add(ignored);
    if (decoded->lease && this->listener)
        this->listener->onLeaseAnnouncement(*decoded->lease, decoded->leaseAge, now);
    this->send(now);
}

std::string UsageExchange::aggregatorAddress() const
{
    const InstanceRecord *aggregator = this->exchange.view().aggregator();
    return aggregator ? aggregator->exchangeAddress : std::string();
}

std::vector<InstanceRecord> UsageExchange::otherAggregators() const
{
    std::vector<InstanceRecord> records;
    for (const InstanceRecord *other : this->exchange.view().remoteAggregators())
        records.push_back(*other);
    return records;
}

std::vector<std::string> UsageExchange::followerAddresses() const
{
    std::vector<std::string> addresses;
    for (const FleetView::Subscriber *subscriber : this->exchange.view().subscribers(true))
        addresses.push_back(subscriber->exchangeAddress);
    return addresses;
}

std::size_t UsageExchange::instances() const
{
    return this->exchange.view().instances();
}

absl::btree_map<InstanceId, FailureDomainId> UsageExchange::listed() const
{
    return this->exchange.view().listed();
}

} // namespace foxtailtally

#include "main/gateway/instance_exchange.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/guard.h"
#include "core/log.h"
#include "core/socket_address.h"
#include "peers/instance/limit_message.h"
#include "peers/instance/usage_message.h"

#include <absl/container/btree_set.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <event2/event.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace foxtailtally {

namespace {

/** Interval at which the instances to follow are chosen again and due messages are sent; a fraction
 * of FleetView::kAggregatorTimeout. */
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);

/** Minimum interval between two reports. */
constexpr absl::Duration kMinReportInterval = absl::Milliseconds(4);
/** Interval at which an instance reports although nothing has changed; what it receives can be
 * dated back to its last report only. */
constexpr absl::Duration kReportHeartbeatInterval = absl::Milliseconds(250);

/** Minimum interval between two bundles, for each receiving instance and within these bounds: the
 * cost of sending grows neither with the square of the fleet size nor with its load. */
constexpr absl::Duration kBundleIntervalPerInstance = absl::Microseconds(500);
constexpr absl::Duration kMinBundleInterval = absl::Milliseconds(4);
constexpr absl::Duration kMaxBundleInterval = absl::Milliseconds(50);
/** Bundles to other domains are rarer by this factor; traffic between domains has a price. */
constexpr int kRemoteIntervalFactor = 2;
/** Interval at which a bundle is sent although nothing has changed; several intervals fit into
 * FleetView::kAggregatorTimeout. */
constexpr absl::Duration kBundleHeartbeatInterval = absl::Milliseconds(100);

/** Time for which an instance suspects a server that another one has reported as suspect. */
constexpr absl::Duration kPeerSuspicionTerm = absl::Seconds(1);

/** Minimum interval between two full quarantines sent to an instance whose quarantine differs:
 * messages in flight make it differ for some milliseconds. */
constexpr absl::Duration kMinQuarantineInterval = absl::Milliseconds(500);

/** Bits of a stamp that hold the time since the start, in microseconds; the rest distinguishes the
 * incarnations of an instance. */
constexpr int kStampTimeBits = 48;
constexpr std::uint64_t kStampTimeMask = (std::uint64_t {1} << kStampTimeBits) - 1;

std::uint16_t portOf(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    unsigned port = 0;
    if (colon == std::string_view::npos
        || !absl::SimpleAtoi(std::string(address.substr(colon + 1)), &port))
        return 0;
    return static_cast<std::uint16_t>(port);
}

std::string hostOf(std::string_view address)
{
    return std::string(address.substr(0, address.rfind(':')));
}

std::string addressOf(const sockaddr_in &peer)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    ::inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
    return absl::StrCat(text.data(), ":", ntohs(peer.sin_port));
}

} // namespace

InstanceExchange::InstanceExchange(event_base *base, const InstanceRecord &self,
                                   StreamLedger &ledger, ServerHealth &health,
                                   Quarantine &quarantine, StoreSource &storeSource,
                                   Metrics &metrics)
    : base(base)
    , self(self)
    , ledger(ledger)
    , health(health)
    , quarantine(quarantine)
    , storeSource(storeSource)
    , metrics(metrics)
    , fleet(self)
    , lending(self.id, Clock::now())
    , tick(base, [this] { this->onTick(); })
    , reportTimer(base, [this] { this->sendReports(false); })
    , bundleTimer(base, [this] { this->sendBundles(false); })
{ }

InstanceExchange::~InstanceExchange()
{
    if (this->readable)
        event_free(this->readable);
    if (this->socket >= 0)
        ::close(this->socket);
}

std::error_code InstanceExchange::start()
{
    sockaddr_in bound {};
    if (!parseAddress(this->self.exchangeAddress, bound))
        return Error::SettingsInvalid;
    this->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (this->socket < 0
        || ::bind(this->socket, reinterpret_cast<sockaddr *>(&bound), sizeof bound) != 0)
        return std::error_code(errno, std::generic_category());
    this->startedAt = Clock::now();
    this->incarnation = static_cast<std::uint64_t>(absl::ToUnixMicros(Clock::wallNow()));
    this->readable = event_new(
        this->base, this->socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *object) {
            runGuarded("receive", [object] { static_cast<InstanceExchange *>(object)->receive(); });
        },
        this);
    event_add(this->readable, nullptr);
    this->tick.start(kTickInterval);
    return {};
}

void InstanceExchange::removeRecord(const InstanceId &instance)
{
    this->fleet.removeRecord(instance);
    this->storeSource.forget(instance);
}

void InstanceExchange::onLedgerChanged()
{
    const absl::Time now = Clock::now();
    if (this->fleet.aggregator() && !this->isReportScheduled) {
        this->isReportScheduled = true;
        this->reportTimer.start(
            std::max(absl::Milliseconds(1), this->reportedAt + kMinReportInterval - now));
    }
    if (this->fleet.hasSubscribers() && !this->isBundleScheduled) {
        this->isBundleScheduled = true;
        this->bundleTimer.start(
            std::max(absl::Milliseconds(1), this->bundledAt + this->bundleInterval() - now));
    }
}

void InstanceExchange::announceStoreChange()
{
    this->sendBundles(true);
    if (this->fleet.aggregator())
        this->sendReports(false);
}

void InstanceExchange::onSuspicion(ServerKey server)
{
    this->suspectsToReport.push_back(server);
    this->ownDomainSuspects.push_back(server);
    this->remoteSuspects.push_back(server);
    this->onLedgerChanged();
}

void InstanceExchange::onServerDeaths(std::vector<CrashReport> deaths)
{
    QuarantineMessage message;
    message.deaths = std::move(deaths);
    this->broadcastQuarantineReports(std::move(message), {}, Clock::now());
}

void InstanceExchange::onServed(std::vector<ServedReport> served)
{
    QuarantineMessage message;
    message.served = std::move(served);
    this->broadcastQuarantineReports(std::move(message), {}, Clock::now());
}

void InstanceExchange::onTrials(std::vector<TrialReport> trials)
{
    QuarantineMessage message;
    message.trials = std::move(trials);
    this->broadcastQuarantineReports(std::move(message), {}, Clock::now());
}

void InstanceExchange::broadcastQuarantineReports(QuarantineMessage message,
                                                  std::string_view source, absl::Time now)
{
    if (message.deaths.empty() && message.served.empty() && message.trials.empty())
        return;
    absl::btree_set<std::string> addresses;
    if (const InstanceRecord *aggregator = this->fleet.aggregator())
        addresses.insert(aggregator->exchangeAddress);
    for (const InstanceRecord *other : this->fleet.remoteAggregators())
        addresses.insert(other->exchangeAddress);
    for (const bool isOwnDomain : {true, false}) {
        for (const FleetView::Subscriber *subscriber : this->fleet.subscribers(isOwnDomain))
            addresses.insert(subscriber->exchangeAddress);
    }
    addresses.erase(std::string(source));
    for (const std::string &address : addresses)
        this->sendQuarantine(message, address, now);
}

void InstanceExchange::sendQuarantine(QuarantineMessage &message, const std::string &address,
                                      absl::Time now)
{
    message.header = this->header(now);
    const std::vector<std::string> datagrams = encodeQuarantine(message, now);
    this->sequence = message.header.sequence + datagrams.size();
    for (const std::string &datagram : datagrams)
        this->sendTo(address, datagram);
}

void InstanceExchange::onTick()
{
    this->tick.start(kTickInterval);
    const absl::Time now = Clock::now();
    this->chooseLinks(now);
    if (now - this->reportedAt >= kReportHeartbeatInterval)
        this->sendReports(true);
    if (now - this->bundledAt >= kBundleHeartbeatInterval)
        this->sendBundles(false);
}

void InstanceExchange::chooseLinks(absl::Time now)
{
    const std::vector<FailureDomainId> changed = this->fleet.onTick(now);
    for (const FailureDomainId &domain : changed) {
        if (domain == this->self.domain)
            this->ledger.dropOwnDomain();
        this->ledger.dropOtherDomains(domain);
    }
    this->updateTopology();
    this->updateLending(now);
    if (changed.empty())
        return;
    const InstanceRecord *aggregator = this->fleet.aggregator();
    logEvent(LogLevel::Info, "follows",
             {{"aggregator", aggregator ? aggregator->id.str() : this->self.id.str()},
              {"remote", this->fleet.remoteAggregators().size()},
              {"changed", changed.size()}});
    this->sendReports(true);
}

void InstanceExchange::updateLending(absl::Time now)
{
    const InstanceRecord *aggregator = this->fleet.aggregator();
    const InstanceId target = aggregator ? aggregator->id : this->self.id;
    this->lending.update(target, this->peerStates[target].heardAt, now);
}

std::size_t InstanceExchange::lenders(absl::Time now) const
{
    const bool lendsToSelf = !this->fleet.aggregator() && this->lending.isLent();
    return this->fleet.lenders(now) + (lendsToSelf ? 1 : 0);
}

void InstanceExchange::updateTopology()
{
    StoreSource::Topology topology;
    if (const InstanceRecord *aggregator = this->fleet.aggregator())
        topology.aggregator = aggregator->id;
    for (const InstanceRecord *other : this->fleet.remoteAggregators())
        topology.others.push_back(*other);
    topology.ownRank = this->fleet.ownRank();
    topology.domains = this->fleet.domainCount();
    topology.isListed = this->isListed;
    this->storeSource.setTopology(std::move(topology));
}

absl::Duration InstanceExchange::bundleInterval() const
{
    const auto receivers = static_cast<std::int64_t>(this->fleet.ownDomainInstances());
    return std::clamp(kBundleIntervalPerInstance * receivers, kMinBundleInterval,
                      kMaxBundleInterval);
}

MessageHeader InstanceExchange::header(absl::Time now)
{
    MessageHeader header;
    header.instance = this->self.id.str();
    header.domain = this->self.domain.str();
    header.relayPort = portOf(this->self.relayAddress);
    header.incarnation = this->incarnation;
    header.sequence = ++this->sequence;
    header.stamp = this->stampAt(now);
    header.hasLostStore = this->storeSource.isStoreLost(now);
    header.states = this->storeSource.states();
    header.quarantineDigest = this->quarantine.digest();
    return header;
}

void InstanceExchange::sendReports(bool isHeartbeat)
{
    const absl::Time now = Clock::now();
    this->isReportScheduled = false;
    this->reportedAt = now;
    for (const FleetView::ReportTarget &reportTarget : this->fleet.takeReportTargets(now)) {
        if (!reportTarget.isOwnDomain && !isHeartbeat)
            continue;
        ReportMessage message;
        message.header = this->header(now);
        message.header.echo = this->peerStates[reportTarget.target.id].stamp;
        if (reportTarget.isOwnDomain) {
            message.header.lendsShare = !reportTarget.isProbe && this->lending.isLent();
            message.parts = this->ledger.own();
            message.header.suspects = this->suspectsToReport;
        }
        this->sendTo(reportTarget.target.exchangeAddress, encodeReport(message, now));
    }
    this->suspectsToReport.clear();
}

void InstanceExchange::sendBundles(bool hasStoreChange)
{
    const absl::Time now = Clock::now();
    this->isBundleScheduled = false;
    this->bundledAt = now;
    this->sendBundlesTo(true, now);
    this->ownDomainSuspects.clear();
    const absl::Duration remoteInterval =
        std::min(kBundleHeartbeatInterval, this->bundleInterval() * kRemoteIntervalFactor);
    if (!hasStoreChange && now - this->remoteBundledAt < remoteInterval)
        return;
    this->remoteBundledAt = now;
    this->sendBundlesTo(false, now);
    this->remoteSuspects.clear();
}

void InstanceExchange::sendBundlesTo(bool isOwnDomain, absl::Time now)
{
    const std::vector<FleetView::Subscriber *> subscribers = this->fleet.subscribers(isOwnDomain);
    if (subscribers.empty())
        return;
    std::vector<std::string> changed = this->encoded(this->bundle(isOwnDomain, false, now), now);
    std::vector<std::string> all;
    for (FleetView::Subscriber *subscriber : subscribers) {
        if (subscriber->isNew && all.empty())
            all = this->encoded(this->bundle(isOwnDomain, true, now), now);
        this->sendDatagrams(*subscriber, subscriber->isNew ? all : changed);
    }
}

std::vector<std::string> InstanceExchange::encoded(const BundleMessage &message, absl::Time now)
{
    std::vector<std::string> datagrams = encodeBundle(message, now);
    this->sequence = message.header.sequence + datagrams.size();
    return datagrams;
}

void InstanceExchange::sendDatagrams(FleetView::Subscriber &subscriber,
                                     std::vector<std::string> &datagrams)
{
    subscriber.isNew = false;
    const std::uint64_t echo = this->peerStates[subscriber.id].stamp;
    for (std::string &datagram : datagrams) {
        setEcho(datagram, echo);
        this->sendTo(subscriber.exchangeAddress, datagram);
    }
}

BundleMessage InstanceExchange::bundle(bool isOwnDomain, bool isFull, absl::Time now)
{
    BundleMessage message;
    message.header = this->header(now);
    message.instances = static_cast<std::uint16_t>(isOwnDomain ? this->fleet.instances()
                                                               : this->fleet.ownDomainInstances());
    message.header.suspects = isOwnDomain ? this->ownDomainSuspects : this->remoteSuspects;
    const ServerLoads own = this->ledger.ownDomainLoads(now);
    LoadDeltaTracker &sent = isOwnDomain ? this->ownDomainSent : this->remoteSent;
    message.ownDomain = isFull ? LoadDeltaTracker::all(own) : sent.takeChanges(own, now);
    if (!isOwnDomain)
        return message;
    const ServerLoads otherDomains = this->ledger.otherDomainLoads(now);
    message.otherDomains = isFull ? LoadDeltaTracker::all(otherDomains)
                                  : this->otherDomainsSent.takeChanges(otherDomains, now);
    return message;
}

void InstanceExchange::sendTo(const std::string &address, const std::string &datagram)
{
    sockaddr_in peer {};
    if (!parseAddress(address, peer))
        return;
    // A full socket buffer drops the datagram; the next one repeats its content.
    ::sendto(this->socket, datagram.data(), datagram.size(), 0, reinterpret_cast<sockaddr *>(&peer),
             sizeof peer);
}

void InstanceExchange::receive()
{
    std::array<char, kMaxDatagram> buffer {};
    while (true) {
        sockaddr_in sender {};
        socklen_t length = sizeof sender;
        const ssize_t size = ::recvfrom(this->socket, buffer.data(), buffer.size(), 0,
                                        reinterpret_cast<sockaddr *>(&sender), &length);
        if (size <= 0)
            return;
        this->senderAddress = addressOf(sender);
        const std::span<const char> bytes(buffer.data(), static_cast<std::size_t>(size));
        if (isLimitDatagram(bytes) && this->limitReceiver) {
            this->limitReceiver->onLimitDatagram(bytes, this->senderAddress, Clock::now());
            continue;
        }
        if (isUsageDatagram(bytes) && this->usageReceiver) {
            this->usageReceiver->onUsageDatagram(bytes, this->senderAddress, Clock::now());
            continue;
        }
        const std::error_code error = decodeMessage(bytes, Clock::now(), *this);
        if (error) {
            this->metrics.counter(kMalformedDatagrams).add();
            logEvent(LogLevel::Warning, "peer_message_malformed",
                     {{"bytes", size}, {"error", errorName(error)}});
        }
    }
}

bool InstanceExchange::acceptHeader(const MessageHeader &header)
{
    const InstanceId instance(header.instance);
    if (instance == this->self.id)
        return false;
    PeerState &last = this->peerStates[instance];
    // After a jump of the wall clock, a restarted instance may have a lower incarnation, so only
    // messages of the same incarnation are ordered.
    if (header.incarnation == last.incarnation && header.sequence <= last.sequence)
        return false;
    last.incarnation = header.incarnation;
    last.sequence = header.sequence;
    last.stamp = header.stamp;
    last.heardAt = Clock::now();
    return true;
}

void InstanceExchange::onReport(ReportMessage &message)
{
    const absl::Time now = Clock::now();
    const MessageHeader &header = message.header;
    if (!this->acceptHeader(header))
        return;
    FleetView::Subscriber subscriber;
    subscriber.id = InstanceId(header.instance);
    subscriber.domain = FailureDomainId(header.domain);
    subscriber.exchangeAddress = this->senderAddress;
    subscriber.relayAddress = absl::StrCat(hostOf(this->senderAddress), ":", header.relayPort);
    subscriber.heardAt = now;
    if (header.lendsShare)
        subscriber.lendsUntil = this->echoedSendTime(header.echo, now) + ShareLending::kTerm;
    this->fleet.onReport(subscriber);
    if (subscriber.domain == this->self.domain)
        this->ledger.replacePeer(subscriber.id, std::move(message.parts), now);
    for (const ServerKey server : header.suspects) {
        this->health.onPeerSuspicion(server, kPeerSuspicionTerm, now);
        this->ownDomainSuspects.push_back(server);
        this->remoteSuspects.push_back(server);
    }
    this->onPeerUpdate(header, subscriber.relayAddress, now);
    this->onLedgerChanged();
}

void InstanceExchange::onBundle(BundleMessage &message)
{
    const absl::Time now = Clock::now();
    const MessageHeader &header = message.header;
    if (!this->acceptHeader(header))
        return;
    const InstanceId instance(header.instance);
    const FailureDomainId domain(header.domain);
    this->fleet.onPeerUpdate(instance, message.instances, now);
    if (this->fleet.isFollowed(instance)) {
        if (domain == this->self.domain) {
            this->ledger.updateOwnDomain(message.ownDomain, this->echoedSendTime(header.echo, now),
                                         now);
            this->ledger.updateOtherDomains(domain, message.otherDomains, now);
        } else {
            this->ledger.updateOtherDomains(domain, message.ownDomain, now);
            this->ownDomainSuspects.insert(this->ownDomainSuspects.end(), header.suspects.begin(),
                                           header.suspects.end());
            if (!message.ownDomain.empty())
                this->onLedgerChanged();
        }
        for (const ServerKey server : header.suspects)
            this->health.onPeerSuspicion(server, kPeerSuspicionTerm, now);
    }
    this->onPeerUpdate(header, absl::StrCat(hostOf(this->senderAddress), ":", header.relayPort),
                       now);
}

void InstanceExchange::onQuarantine(QuarantineMessage &message)
{
    const absl::Time now = Clock::now();
    if (!this->acceptHeader(message.header))
        return;
    QuarantineMessage newReports;
    QuarantineMessage contradiction;
    for (const CrashReport &report : message.deaths) {
        if (const std::optional<ServedReport> served =
                this->quarantine.contradictionOf(report, now)) {
            this->quarantine.onServed(*served, now);
            contradiction.served.push_back(*served);
        } else if (this->quarantine.onCrashReport(report, now)) {
            newReports.deaths.push_back(report);
        }
    }
    for (const ServedReport &report : message.served) {
        if (this->quarantine.onServed(report, now))
            newReports.served.push_back(report);
    }
    for (const TrialReport &report : message.trials) {
        if (this->quarantine.onTrial(report, now))
            newReports.trials.push_back(report);
    }
    this->broadcastQuarantineReports(std::move(newReports), this->senderAddress, now);
    this->broadcastQuarantineReports(std::move(contradiction), {}, now);
}

void InstanceExchange::sendQuarantineIfDifferent(const MessageHeader &header, absl::Time now)
{
    PeerState &sender = this->peerStates[InstanceId(header.instance)];
    const bool isDue = !this->quarantine.isEmpty()
        && header.quarantineDigest != this->quarantine.digest()
        && now - sender.quarantineSentAt >= kMinQuarantineInterval;
    if (!isDue)
        return;
    sender.quarantineSentAt = now;
    QuarantineMessage all;
    all.deaths = this->quarantine.reports(now);
    all.served = this->quarantine.servedReports(now);
    this->sendQuarantine(all, this->senderAddress, now);
}

void InstanceExchange::onPeerUpdate(const MessageHeader &header, const std::string &relayAddress,
                                    absl::Time now)
{
    this->sendQuarantineIfDifferent(header, now);
    KindStates states = header.states;
    const absl::Time sentAfter = this->echoedSendTime(header.echo, now);
    for (KindState &state : states) {
        if (state.confirmedAt != absl::InfinitePast())
            state.confirmedAt = sentAfter - (now - state.confirmedAt);
    }
    this->storeSource.onPeerUpdate(InstanceId(header.instance), relayAddress, header.hasLostStore,
                                   states, now);
    if (this->peerUpdateCallback)
        this->peerUpdateCallback();
}

absl::Time InstanceExchange::echoedSendTime(std::uint64_t echo, absl::Time now) const
{
    if (echo == 0 || (echo >> kStampTimeBits) != (this->stampAt(now) >> kStampTimeBits))
        return absl::InfinitePast();
    const absl::Time moment =
        this->startedAt + absl::Microseconds(static_cast<std::int64_t>(echo & kStampTimeMask));
    return moment <= now ? moment : absl::InfinitePast();
}

std::uint64_t InstanceExchange::stampAt(absl::Time now) const
{
    const auto since = static_cast<std::uint64_t>(absl::ToInt64Microseconds(now - this->startedAt));
    return (this->incarnation << kStampTimeBits) | (since & kStampTimeMask);
}

} // namespace foxtailtally

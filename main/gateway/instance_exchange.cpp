#include "main/gateway/instance_exchange.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/guard.h"
#include "core/log.h"
#include "core/socket_address.h"

#include <absl/container/btree_set.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <event2/event.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace foxtailtally {

namespace {

/** Interval at which it is looked whom to follow, and what is due; a fraction of
 * FleetView::kAggregatorTimeout. */
constexpr absl::Duration kTick = absl::Milliseconds(50);

/** Shortest time between two reports. */
constexpr absl::Duration kReportPause = absl::Milliseconds(4);
/** Time after which an instance reports again although nothing has changed; what it is told can be
 * dated to its last report. */
constexpr absl::Duration kReportHeartbeat = absl::Milliseconds(250);

/** Shortest time between two bundles, for each instance told and within these bounds: the cost of
 * telling grows neither with the square of the fleet nor with its load. */
constexpr absl::Duration kBundlePauseForEach = absl::Microseconds(500);
constexpr absl::Duration kShortestBundlePause = absl::Milliseconds(4);
constexpr absl::Duration kLongestBundlePause = absl::Milliseconds(50);
/** Bundles to other domains are rarer by this factor; their bytes have a price. */
constexpr int kOutsideFactor = 2;
/** Time after which a bundle is sent although nothing has changed; several fit into
 * FleetView::kAggregatorTimeout. */
constexpr absl::Duration kBeat = absl::Milliseconds(100);

/** Time for which a server is suspect at an instance that is told so. */
constexpr absl::Duration kToldSuspicion = absl::Seconds(1);

/** Shortest time between two answers to an instance whose quarantine differs: what is on the way
 * makes it differ for some milliseconds. */
constexpr absl::Duration kQuarantinePause = absl::Milliseconds(500);

/** Bits of a stamp that hold the time since the start, in microseconds; the rest tells the lives of
 * an instance apart. */
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
                                   Quarantine &quarantine, StoreSource &storeSource)
    : base(base)
    , self(self)
    , ledger(ledger)
    , health(health)
    , quarantine(quarantine)
    , storeSource(storeSource)
    , fleet(self)
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
    this->tick.start(kTick);
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
            std::max(absl::Milliseconds(1), this->reportedAt + kReportPause - now));
    }
    if (this->fleet.hasSubscribers() && !this->isBundleScheduled) {
        this->isBundleScheduled = true;
        this->bundleTimer.start(
            std::max(absl::Milliseconds(1), this->bundledAt + this->bundlePause() - now));
    }
}

void InstanceExchange::onStoreNews()
{
    this->sendBundles(true);
    if (this->fleet.aggregator())
        this->sendReports(false);
}

void InstanceExchange::onSuspicion(ServerKey server)
{
    this->reportedSuspects.push_back(server);
    this->toldSuspects.push_back(server);
    this->outsideSuspects.push_back(server);
    this->onLedgerChanged();
}

void InstanceExchange::onServerDeaths(std::vector<CrashReport> deaths)
{
    QuarantineMessage message;
    message.deaths = std::move(deaths);
    this->spread(std::move(message), {}, Clock::now());
}

void InstanceExchange::onServed(const ServedReport &served)
{
    QuarantineMessage message;
    message.served = {served};
    this->spread(std::move(message), {}, Clock::now());
}

void InstanceExchange::spread(QuarantineMessage message, std::string_view source, absl::Time now)
{
    if (message.deaths.empty() && message.served.empty())
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
    message.head = this->head(now);
    const std::vector<std::string> datagrams = encodeQuarantine(message, now);
    this->sequence = message.head.sequence + datagrams.size();
    for (const std::string &datagram : datagrams)
        this->sendTo(address, datagram);
}

void InstanceExchange::onTick()
{
    this->tick.start(kTick);
    const absl::Time now = Clock::now();
    this->chooseLinks(now);
    if (now - this->reportedAt >= kReportHeartbeat)
        this->sendReports(true);
    if (now - this->bundledAt >= kBeat)
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
    this->updatePlace();
    if (changed.empty())
        return;
    const InstanceRecord *aggregator = this->fleet.aggregator();
    logEvent(LogLevel::Info, "follows",
             {{"aggregator", aggregator ? aggregator->id.str() : this->self.id.str()},
              {"remote", this->fleet.remoteAggregators().size()},
              {"changed", changed.size()}});
    this->sendReports(true);
}

void InstanceExchange::updatePlace()
{
    StoreSource::Topology place;
    if (const InstanceRecord *aggregator = this->fleet.aggregator())
        place.aggregator = aggregator->id;
    for (const InstanceRecord *other : this->fleet.remoteAggregators())
        place.others.push_back(*other);
    place.ownRank = this->fleet.ownRank();
    place.domains = this->fleet.domainCount();
    place.isListed = this->isListed;
    this->storeSource.setTopology(std::move(place));
}

absl::Duration InstanceExchange::bundlePause() const
{
    const auto told = static_cast<std::int64_t>(this->fleet.ownDomainInstances());
    return std::clamp(kBundlePauseForEach * told, kShortestBundlePause, kLongestBundlePause);
}

MessageHead InstanceExchange::head(absl::Time now)
{
    MessageHead head;
    head.instance = this->self.id.str();
    head.domain = this->self.domain.str();
    head.relayPort = portOf(this->self.relayAddress);
    head.incarnation = this->incarnation;
    head.sequence = ++this->sequence;
    head.stamp = this->stampOf(now);
    head.hasLostStore = this->storeSource.isStoreLost(now);
    head.states = this->storeSource.states();
    head.quarantineDigest = this->quarantine.digest();
    return head;
}

void InstanceExchange::sendReports(bool isHeartbeat)
{
    const absl::Time now = Clock::now();
    this->isReportScheduled = false;
    this->reportedAt = now;
    for (const FleetView::ReportTarget &link : this->fleet.takeReportTargets(now)) {
        if (!link.isOwnDomain && !isHeartbeat)
            continue;
        ReportMessage message;
        message.head = this->head(now);
        message.head.echo = this->known[link.target.id].stamp;
        if (link.isOwnDomain) {
            message.parts = this->ledger.own();
            message.head.suspects = this->reportedSuspects;
        }
        this->sendTo(link.target.exchangeAddress, encodeReport(message, now));
    }
    this->reportedSuspects.clear();
}

void InstanceExchange::sendBundles(bool hasStoreNews)
{
    const absl::Time now = Clock::now();
    this->isBundleScheduled = false;
    this->bundledAt = now;
    this->tellAll(true, now);
    this->toldSuspects.clear();
    const absl::Duration outsidePause = std::min(kBeat, this->bundlePause() * kOutsideFactor);
    if (!hasStoreNews && now - this->toldOutsideAt < outsidePause)
        return;
    this->toldOutsideAt = now;
    this->tellAll(false, now);
    this->outsideSuspects.clear();
}

void InstanceExchange::tellAll(bool isOwnDomain, absl::Time now)
{
    const std::vector<FleetView::Subscriber *> told = this->fleet.subscribers(isOwnDomain);
    if (told.empty())
        return;
    std::vector<std::string> news = this->encoded(this->bundle(isOwnDomain, false, now), now);
    std::vector<std::string> all;
    for (FleetView::Subscriber *subscriber : told) {
        if (subscriber->isNew && all.empty())
            all = this->encoded(this->bundle(isOwnDomain, true, now), now);
        this->tell(*subscriber, subscriber->isNew ? all : news);
    }
}

std::vector<std::string> InstanceExchange::encoded(const BundleMessage &message, absl::Time now)
{
    std::vector<std::string> datagrams = encodeBundle(message, now);
    this->sequence = message.head.sequence + datagrams.size();
    return datagrams;
}

void InstanceExchange::tell(FleetView::Subscriber &subscriber, std::vector<std::string> &datagrams)
{
    subscriber.isNew = false;
    const std::uint64_t echo = this->known[subscriber.id].stamp;
    for (std::string &datagram : datagrams) {
        setEcho(datagram, echo);
        this->sendTo(subscriber.exchangeAddress, datagram);
    }
}

BundleMessage InstanceExchange::bundle(bool isOwnDomain, bool isFull, absl::Time now)
{
    BundleMessage message;
    message.head = this->head(now);
    message.instances = static_cast<std::uint16_t>(isOwnDomain ? this->fleet.instances()
                                                               : this->fleet.ownDomainInstances());
    message.head.suspects = isOwnDomain ? this->toldSuspects : this->outsideSuspects;
    const ServerLoads own = this->ledger.ownDomainLoads(now);
    LoadDeltaTracker &told = isOwnDomain ? this->toldInDomain : this->toldOutside;
    message.ownDomain = isFull ? LoadDeltaTracker::all(own) : told.takeChanges(own, now);
    if (!isOwnDomain)
        return message;
    const ServerLoads elsewhere = this->ledger.otherDomainLoads(now);
    message.elsewhere =
        isFull ? LoadDeltaTracker::all(elsewhere) : this->toldElsewhere.takeChanges(elsewhere, now);
    return message;
}

void InstanceExchange::sendTo(const std::string &address, const std::string &datagram)
{
    sockaddr_in peer {};
    if (!parseAddress(address, peer))
        return;
    // A full socket drops the datagram; the next one tells the same again.
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
        const std::error_code error = decodeMessage(
            std::span(buffer.data(), static_cast<std::size_t>(size)), Clock::now(), *this);
        if (error)
            logEvent(LogLevel::Warning, "peer_message_malformed",
                     {{"bytes", size}, {"error", errorName(error)}});
    }
}

bool InstanceExchange::accept(const MessageHead &head)
{
    const InstanceId instance(head.instance);
    if (instance == this->self.id)
        return false;
    Known &last = this->known[instance];
    // A restart may carry a lower number after a jump of the time of day, so only the same
    // incarnation is put in order.
    if (head.incarnation == last.incarnation && head.sequence <= last.sequence)
        return false;
    last.incarnation = head.incarnation;
    last.sequence = head.sequence;
    last.stamp = head.stamp;
    return true;
}

void InstanceExchange::onReport(ReportMessage &message)
{
    const absl::Time now = Clock::now();
    const MessageHead &head = message.head;
    if (!this->accept(head))
        return;
    FleetView::Subscriber subscriber;
    subscriber.id = InstanceId(head.instance);
    subscriber.domain = FailureDomainId(head.domain);
    subscriber.exchangeAddress = this->senderAddress;
    subscriber.relayAddress = absl::StrCat(hostOf(this->senderAddress), ":", head.relayPort);
    subscriber.heardAt = now;
    this->fleet.onReport(subscriber);
    if (subscriber.domain == this->self.domain)
        this->ledger.replacePeer(subscriber.id, std::move(message.parts), now);
    for (const ServerKey server : head.suspects) {
        this->health.onPeerSuspicion(server, kToldSuspicion, now);
        this->toldSuspects.push_back(server);
        this->outsideSuspects.push_back(server);
    }
    this->onPeerUpdate(head, subscriber.relayAddress, now);
    this->onLedgerChanged();
}

void InstanceExchange::onBundle(BundleMessage &message)
{
    const absl::Time now = Clock::now();
    const MessageHead &head = message.head;
    if (!this->accept(head))
        return;
    const InstanceId instance(head.instance);
    const FailureDomainId domain(head.domain);
    this->fleet.onPeerUpdate(instance, message.instances, now);
    if (this->fleet.isFollowed(instance)) {
        if (domain == this->self.domain) {
            this->ledger.updateOwnDomain(message.ownDomain, this->echoedMoment(head.echo, now),
                                         now);
            this->ledger.updateOtherDomains(domain, message.elsewhere, now);
        } else {
            this->ledger.updateOtherDomains(domain, message.ownDomain, now);
            this->toldSuspects.insert(this->toldSuspects.end(), head.suspects.begin(),
                                      head.suspects.end());
            if (!message.ownDomain.empty())
                this->onLedgerChanged();
        }
        for (const ServerKey server : head.suspects)
            this->health.onPeerSuspicion(server, kToldSuspicion, now);
    }
    this->onPeerUpdate(head, absl::StrCat(hostOf(this->senderAddress), ":", head.relayPort), now);
}

void InstanceExchange::onQuarantine(QuarantineMessage &message)
{
    const absl::Time now = Clock::now();
    if (!this->accept(message.head))
        return;
    QuarantineMessage news;
    QuarantineMessage contradiction;
    for (const CrashReport &report : message.deaths) {
        if (this->quarantine.wasServedRecently(report.fingerprint, now)) {
            const ServedReport served = {report.fingerprint, now};
            this->quarantine.onServed(served, now);
            contradiction.served.push_back(served);
        } else if (this->quarantine.onVerdict(report, now)) {
            news.deaths.push_back(report);
        }
    }
    for (const ServedReport &report : message.served) {
        if (this->quarantine.onServed(report, now))
            news.served.push_back(report);
    }
    this->spread(std::move(news), this->senderAddress, now);
    this->spread(std::move(contradiction), {}, now);
}

void InstanceExchange::compareQuarantine(const MessageHead &head, absl::Time now)
{
    Known &sender = this->known[InstanceId(head.instance)];
    const bool isDue = !this->quarantine.isEmpty()
        && head.quarantineDigest != this->quarantine.digest()
        && now - sender.quarantineTold >= kQuarantinePause;
    if (!isDue)
        return;
    sender.quarantineTold = now;
    QuarantineMessage all;
    all.deaths = this->quarantine.reports(now);
    all.served = this->quarantine.servedReports(now);
    this->sendQuarantine(all, this->senderAddress, now);
}

void InstanceExchange::onPeerUpdate(const MessageHead &head, const std::string &relayAddress,
                                    absl::Time now)
{
    this->compareQuarantine(head, now);
    KindStates states = head.states;
    const absl::Time sentAfter = this->echoedMoment(head.echo, now);
    for (KindState &state : states) {
        if (state.confirmedAt != absl::InfinitePast())
            state.confirmedAt = sentAfter - (now - state.confirmedAt);
    }
    this->storeSource.onPeerUpdate(InstanceId(head.instance), relayAddress, head.hasLostStore,
                                   states, now);
    if (this->toldTask)
        this->toldTask();
}

absl::Time InstanceExchange::echoedMoment(std::uint64_t echo, absl::Time now) const
{
    if (echo == 0 || (echo >> kStampTimeBits) != (this->stampOf(now) >> kStampTimeBits))
        return absl::InfinitePast();
    const absl::Time moment =
        this->startedAt + absl::Microseconds(static_cast<std::int64_t>(echo & kStampTimeMask));
    return moment <= now ? moment : absl::InfinitePast();
}

std::uint64_t InstanceExchange::stampOf(absl::Time now) const
{
    const auto since = static_cast<std::uint64_t>(absl::ToInt64Microseconds(now - this->startedAt));
    return (this->incarnation << kStampTimeBits) | (since & kStampTimeMask);
}

} // namespace foxtailtally

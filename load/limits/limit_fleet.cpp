#include "load/limits/limit_fleet.h"

#include "core/hash.h"
#include "peers/instance/limit_message.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace foxtailtally {

namespace {

/** Intervals of the gateway's exchange between instances. */
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
constexpr absl::Duration kReportInterval = absl::Milliseconds(250);
constexpr absl::Duration kBundleInterval = absl::Milliseconds(100);

constexpr double kHighCapacity = 100;

} // namespace

struct LimitFleet::Node
{
    struct LastMessage
    {
        absl::Time stamp = absl::InfinitePast();
        std::uint64_t incarnation = 0;
        absl::Time heardAt = absl::InfinitePast();
    };

    InstanceRecord record;
    std::string address;
    std::unique_ptr<FleetView> view;
    std::unique_ptr<ShareLending> lending;
    std::unique_ptr<Topology> topology;
    std::unique_ptr<RateLimiter> limiter;
    bool isRunning = true;
    bool isPaused = false;
    /** A tick of this incarnation is queued. */
    bool isTickQueued = false;
    std::uint64_t incarnation = 0;
    absl::Time reportedAt = absl::InfinitePast();
    absl::Time bundledAt = absl::InfinitePast();
    absl::Time workAt = absl::InfiniteFuture();
    absl::flat_hash_map<std::size_t, LastMessage> lastMessages;
    /** Received while the process was paused. */
    std::vector<Datagram> inbox;
    LimitTraffic traffic;
};

class LimitFleet::Topology final : public LimitTopology
{
public:
    Topology(const LimitFleet &fleet, const Node &node, std::size_t domain)
        : fleet(fleet)
        , node(node)
        , domain(domain)
    { }

    IssuerRoute issuerOf(ServerKey server) const override
    {
        using RouteKind = IssuerRoute::Kind;
        if (const InstanceRecord *followed = this->node.view->aggregator())
            return {RouteKind::Remote, followed->exchangeAddress};
        const std::size_t issuing = this->fleet.domainOfServer(server);
        if (issuing == this->domain)
            return {RouteKind::Self, {}};
        const InstanceRecord *other =
            this->node.view->aggregatorOf(FailureDomainId(std::to_string(issuing)));
        if (!other)
            return {RouteKind::None, {}};
        return {RouteKind::Remote, other->exchangeAddress};
    }
    bool isAggregator() const override { return this->node.view->aggregator() == nullptr; }
    std::string aggregatorAddress() const override
    {
        const InstanceRecord *followed = this->node.view->aggregator();
        return followed ? followed->exchangeAddress : std::string();
    }
    std::vector<std::string> followerAddresses() const override
    {
        std::vector<std::string> result;
        for (const FleetView::Subscriber *subscriber : this->node.view->subscribers(true))
            result.push_back(subscriber->exchangeAddress);
        return result;
    }
    std::vector<std::string> otherAggregatorAddresses() const override
    {
        std::vector<std::string> result;
        for (const InstanceRecord *other : this->node.view->remoteAggregators())
            result.push_back(other->exchangeAddress);
        return result;
    }
    std::size_t lenders(absl::Time now) const override
    {
        const bool lendsToSelf = this->isAggregator() && this->node.lending->isLent();
        return this->node.view->lenders(now) + (lendsToSelf ? 1 : 0);
    }
    std::size_t domainInstances() const override { return this->node.view->ownDomainInstances(); }
    std::size_t listedDomainInstances() const override
    {
        return this->node.view->ownDomainRecords();
    }

private:
    const LimitFleet &fleet;
    const Node &node;
    std::size_t domain;
};

LimitFleet::LimitFleet(const LimitFleetOptions &options, std::vector<std::size_t> serverDomains,
                       LimitFleetEvents &events)
    : options(options)
    , serverDomains(std::move(serverDomains))
    , events(events)
    , random(options.seed)
    , passes([](std::size_t, std::size_t) { return true; })
{
    for (std::size_t i = 0; i < options.instances; ++i) {
        this->nodes.push_back(std::make_unique<Node>());
        Node &node = *this->nodes.back();
        node.address = absl::StrCat("10.", i / 65536, ".", i / 256 % 256, ".", i % 256, ":7340");
        const bool isListed = i / options.domains < options.listedPerDomain;
        node.record = {InstanceId(std::to_string(i)),
                       FailureDomainId(std::to_string(this->domainOf(i))), node.address,
                       node.address, isListed ? kHighCapacity : 1.0};
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
        this->startProcess(i);
}

LimitFleet::~LimitFleet() = default;

void LimitFleet::startProcess(std::size_t index)
{
    Node &node = *this->nodes[index];
    node.view = std::make_unique<FleetView>(node.record);
    node.lending = std::make_unique<ShareLending>(node.record.id, this->time);
    node.topology = std::make_unique<Topology>(*this, node, this->domainOf(index));
    ++node.incarnation;
    const ClaimId firstClaim = stableHash(node.record.id.str(), node.incarnation);
    node.limiter =
        std::make_unique<RateLimiter>(*node.topology, node.address, firstClaim, this->time);
    node.isRunning = true;
    node.isPaused = false;
    node.inbox.clear();
    node.lastMessages.clear();
    node.reportedAt = node.bundledAt = absl::InfinitePast();
    node.workAt = absl::InfiniteFuture();
    for (const auto &other : this->nodes) {
        if (other->record.capacity >= kHighCapacity)
            node.view->setRecord(other->record);
    }
    // Processes tick at different moments.
    this->push(this->time + kTickInterval * this->random.uniform(), Kind::Tick,
               static_cast<std::int64_t>(index), node.incarnation);
    node.isTickQueued = true;
}

RateLimiter &LimitFleet::limiter(std::size_t node)
{
    return *this->nodes[node]->limiter;
}

bool LimitFleet::isActive(std::size_t node) const
{
    return this->nodes[node]->isRunning && !this->nodes[node]->isPaused;
}

std::optional<std::size_t> LimitFleet::aggregatorOf(std::size_t domain) const
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->domainOf(i) == domain && this->isActive(i)
            && this->nodes[i]->view->aggregator() == nullptr)
            return i;
    }
    return std::nullopt;
}

const LimitTraffic &LimitFleet::traffic(std::size_t node) const
{
    return this->nodes[node]->traffic;
}

void LimitFleet::setPaused(std::size_t index, bool isPaused)
{
    Node &node = *this->nodes[index];
    const bool wakes = node.isPaused && !isPaused && node.isRunning;
    node.isPaused = isPaused;
    if (!wakes)
        return;
    // Timers are due at once, and the datagrams that have waited.
    if (!node.isTickQueued)
        this->push(this->time, Kind::Tick, static_cast<std::int64_t>(index), node.incarnation);
    node.isTickQueued = true;
    node.workAt = absl::InfiniteFuture();
    std::vector<Datagram> inbox;
    inbox.swap(node.inbox);
    for (Datagram &datagram : inbox)
        this->receive(datagram);
}

void LimitFleet::kill(std::size_t index)
{
    Node &node = *this->nodes[index];
    node.isRunning = false;
    ++node.incarnation;
}

void LimitFleet::restart(std::size_t index)
{
    this->startProcess(index);
}

void LimitFleet::setLinks(std::function<bool(std::size_t, std::size_t)> newPasses)
{
    this->passes = std::move(newPasses);
}

void LimitFleet::push(absl::Time at, Kind kind, std::int64_t target, std::uint64_t incarnation)
{
    this->queue.push({at, this->order++, kind, target, incarnation});
}

void LimitFleet::schedule(absl::Time at, std::int64_t task)
{
    this->push(at, Kind::Task, task);
}

void LimitFleet::runUntil(absl::Time end)
{
    while (!this->queue.empty() && this->queue.top().at <= end) {
        const Event event = this->queue.top();
        this->queue.pop();
        this->time = std::max(this->time, event.at);
        this->handle(event);
    }
    this->time = std::max(this->time, end);
}

void LimitFleet::handle(const Event &event)
{
    const auto target = static_cast<std::size_t>(event.target);
    switch (event.kind) {
    case Kind::Task:
        this->events.onTask(event.target);
        return;
    case Kind::Datagram: {
        const Datagram datagram = std::move(this->datagrams[target]);
        this->freeDatagrams.push_back(target);
        this->receive(datagram);
        return;
    }
    case Kind::Tick:
    case Kind::Work:
        if (this->nodes[target]->incarnation != event.incarnation)
            return;
        if (event.kind == Kind::Tick)
            this->nodes[target]->isTickQueued = false;
        if (!this->isActive(target))
            return;
        if (event.kind == Kind::Tick)
            this->tick(target);
        else if (event.at >= this->nodes[target]->workAt)
            this->work(target);
        return;
    }
}

void LimitFleet::tick(std::size_t index)
{
    Node &node = *this->nodes[index];
    this->push(this->time + kTickInterval, Kind::Tick, static_cast<std::int64_t>(index),
               node.incarnation);
    node.isTickQueued = true;
    const bool hasChanged = !node.view->onTick(this->time).empty();
    const InstanceRecord *followed = node.view->aggregator();
    const InstanceId target = followed ? followed->id : node.record.id;
    node.lending->update(target, node.lastMessages[this->indexOf(target.str())].heardAt,
                         this->time);
    if (hasChanged || this->time - node.reportedAt >= kReportInterval
        || this->time - node.bundledAt >= kBundleInterval)
        this->sendHeartbeats(index);
    this->work(index);
}

void LimitFleet::sendHeartbeats(std::size_t index)
{
    Node &node = *this->nodes[index];
    if (this->time - node.reportedAt >= kReportInterval) {
        node.reportedAt = this->time;
        for (const FleetView::ReportTarget &link : node.view->takeReportTargets(this->time)) {
            const bool lendsShare = link.isOwnDomain && !link.isProbe && node.lending->isLent();
            this->sendHeartbeat(index, this->indexOf(link.target.id.str()), true, lendsShare);
        }
    }
    if (this->time - node.bundledAt < kBundleInterval)
        return;
    node.bundledAt = this->time;
    for (const bool isOwnDomain : {true, false}) {
        for (const FleetView::Subscriber *subscriber : node.view->subscribers(isOwnDomain))
            this->sendHeartbeat(index, this->indexOf(subscriber->id.str()), false, false);
    }
}

void LimitFleet::sendHeartbeat(std::size_t from, std::size_t to, bool isReport, bool lendsShare)
{
    Node &node = *this->nodes[from];
    Heartbeat heartbeat;
    heartbeat.isReport = isReport;
    heartbeat.stamp = this->time;
    heartbeat.incarnation = node.incarnation;
    const Node::LastMessage &last = node.lastMessages[to];
    heartbeat.echo = last.stamp;
    heartbeat.echoIncarnation = last.incarnation;
    heartbeat.lendsShare = lendsShare;
    heartbeat.domainInstances = node.view->ownDomainInstances();
    this->transmit({from, to, heartbeat});
}

void LimitFleet::transmit(const Datagram &datagram)
{
    if (!this->passes(datagram.from, datagram.to)
        || this->random.uniform() < this->options.lossRate)
        return;
    const bool isTwice = this->random.uniform() < this->options.duplicateRate;
    const absl::Duration delay = this->domainOf(datagram.from) == this->domainOf(datagram.to)
        ? this->options.delayWithinDomain
        : this->options.delayBetweenDomains;
    for (int copy = 0; copy < (isTwice ? 2 : 1); ++copy) {
        std::size_t slot = this->datagrams.size();
        if (this->freeDatagrams.empty()) {
            this->datagrams.push_back(datagram);
        } else {
            slot = this->freeDatagrams.back();
            this->freeDatagrams.pop_back();
            this->datagrams[slot] = datagram;
        }
        const absl::Duration handling = this->options.maxHandlingTime * this->random.uniform();
        this->push(this->time + delay + handling, Kind::Datagram, static_cast<std::int64_t>(slot));
    }
}

void LimitFleet::receive(const Datagram &datagram)
{
    Node &node = *this->nodes[datagram.to];
    if (!node.isRunning)
        return;
    if (node.isPaused) {
        node.inbox.push_back(datagram);
        return;
    }
    if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&datagram.content)) {
        this->receiveHeartbeat(datagram, *heartbeat);
        return;
    }
    const Result<LimitEnvelope> envelope =
        decodeLimitEnvelope(std::get<std::string>(datagram.content), this->time);
    node.limiter->onNews(envelope->news, this->time);
    node.limiter->onClaims(envelope->claims, this->time);
    node.limiter->onReplies(envelope->replies, this->nodes[datagram.from]->address, this->time);
    this->flush(datagram.to);
}

void LimitFleet::receiveHeartbeat(const Datagram &datagram, const Heartbeat &heartbeat)
{
    Node &node = *this->nodes[datagram.to];
    const Node &sender = *this->nodes[datagram.from];
    Node::LastMessage &last = node.lastMessages[datagram.from];
    // Messages that are overtaken by a later one of the same process are ignored.
    if (last.incarnation == heartbeat.incarnation && heartbeat.stamp <= last.stamp)
        return;
    last = {heartbeat.stamp, heartbeat.incarnation, this->time};
    if (!heartbeat.isReport) {
        node.view->onPeerUpdate(sender.record.id, heartbeat.domainInstances, this->time);
        return;
    }
    FleetView::Subscriber report;
    report.id = sender.record.id;
    report.domain = sender.record.domain;
    report.exchangeAddress = sender.address;
    report.heardAt = this->time;
    if (heartbeat.lendsShare && heartbeat.echoIncarnation == node.incarnation)
        report.lendsUntil = heartbeat.echo + ShareLending::kTerm;
    node.view->onReport(report);
}

void LimitFleet::flush(std::size_t index)
{
    Node &node = *this->nodes[index];
    for (const LimitEnvelope &envelope : node.limiter->takeMessages(this->time)) {
        if (envelope.address.empty())
            continue;
        for (std::string &bytes : encodeLimitEnvelope(envelope, this->time)) {
            ++node.traffic.messages;
            node.traffic.bytes += static_cast<std::int64_t>(bytes.size());
            this->transmit({index, this->indexOf(envelope.address), std::move(bytes)});
        }
    }
    this->scheduleWork(index);
}

void LimitFleet::work(std::size_t index)
{
    Node &node = *this->nodes[index];
    node.workAt = absl::InfiniteFuture();
    node.limiter->onTick(this->time);
    this->flush(index);
    for (const ClaimOutcome &outcome : node.limiter->takeOutcomes(this->time))
        this->events.onClaimEnded(index, outcome);
    this->flush(index);
}

void LimitFleet::scheduleWork(std::size_t index)
{
    Node &node = *this->nodes[index];
    const absl::Time next = std::max(this->time, node.limiter->nextWorkAt(this->time));
    if (next >= node.workAt || next - this->time > kTickInterval)
        return;
    node.workAt = next;
    this->push(next, Kind::Work, static_cast<std::int64_t>(index), node.incarnation);
}

std::size_t LimitFleet::indexOf(const std::string &name) const
{
    if (name.find(':') == std::string::npos)
        return static_cast<std::size_t>(std::stoul(name));
    // "10.a.b.c:port" of the constructor.
    std::size_t index = 0;
    std::size_t begin = name.find('.') + 1;
    for (int part = 0; part < 3; ++part) {
        std::size_t length = 0;
        index = index * 256 + std::stoul(name.substr(begin), &length);
        begin += length + 1;
    }
    return index;
}

} // namespace foxtailtally

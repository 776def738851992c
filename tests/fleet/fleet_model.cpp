#include "tests/fleet/fleet_model.h"

#include <algorithm>

namespace foxtailtally {

namespace {

constexpr StoreKind kKind = StoreKind::Config;
constexpr std::size_t kKindIndex = static_cast<std::size_t>(kKind);

/** Intervals of the gateway's exchange between instances. */
constexpr absl::Duration kReportInterval = absl::Milliseconds(250);
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(100);
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
/** Time-out of a call to a silent store, in addition to the time of a watch, and of a fetch. */
constexpr absl::Duration kStoreTimeout = absl::Milliseconds(900);
constexpr absl::Duration kFetchTimeout = absl::Milliseconds(400);

constexpr double kHighCapacity = 100;

} // namespace

FleetModel::FleetModel(const Options &options)
    : options(options)
    , nodes(options.domains * options.perDomain)
    , passes([](std::size_t, std::size_t) { return true; })
{
    this->revisions.push_back(this->time);
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const std::size_t rank = i / options.domains;
        Node &node = this->nodes[i];
        const std::string name = std::to_string(i);
        node.record = {InstanceId(name), FailureDomainId(std::to_string(this->domainOf(i))), name,
                       name, rank < options.listedPerDomain ? kHighCapacity : 1.0};
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
        this->startProcess(i);
}

void FleetModel::startProcess(std::size_t index)
{
    Node &node = this->nodes[index];
    node.view = std::make_unique<FleetView>(node.record);
    node.source = std::make_unique<StoreSource>(node.record);
    node.held = {};
    node.inbox.clear();
    node.lastMessages.clear();
    node.call = Call::None;
    node.reportedAt = node.announcedAt = node.tickedAt = absl::InfinitePast();
    node.isRunning = true;
    ++node.incarnation;
    for (const Node &other : this->nodes) {
        if (other.record.capacity >= kHighCapacity)
            node.view->setRecord(other.record);
    }
}

void FleetModel::restart(std::size_t node)
{
    this->startProcess(node);
}

void FleetModel::change()
{
    this->revisions.push_back(this->time);
    // Pending watches are answered immediately.
    for (Node &node : this->nodes) {
        if (node.call == Call::Watch && !node.callFails && node.store == StoreAnswer::Serve)
            node.callEndsAt = std::min(node.callEndsAt, this->time + kStep);
    }
}

void FleetModel::setStoreForAll(StoreAnswer answer)
{
    for (Node &node : this->nodes)
        node.store = answer;
}

void FleetModel::setLinks(std::function<bool(std::size_t, std::size_t)> newPasses)
{
    this->passes = std::move(newPasses);
}

void FleetModel::run(absl::Duration length)
{
    for (const absl::Time end = this->time + length; this->time < end; this->time += kStep) {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (this->nodes[i].isRunning && !this->nodes[i].isPaused)
                this->step(i);
        }
    }
}

void FleetModel::step(std::size_t index)
{
    Node &node = this->nodes[index];
    std::deque<Message> inbox;
    inbox.swap(node.inbox);
    for (const Message &message : inbox)
        this->receive(index, message);
    if (node.call != Call::None && this->time >= node.callEndsAt)
        this->finishCall(index);
    if (this->time - node.tickedAt >= kTickInterval) {
        node.tickedAt = this->time;
        const bool hasChanged = !node.view->onTick(this->time).empty();
        StoreSource::Topology topology;
        if (const InstanceRecord *aggregator = node.view->aggregator())
            topology.aggregator = aggregator->id;
        for (const InstanceRecord *other : node.view->remoteAggregators())
            topology.others.push_back(*other);
        topology.ownRank = node.view->ownRank();
        topology.domains = node.view->domainCount();
        topology.isListed = node.record.capacity >= kHighCapacity;
        node.source->setTopology(std::move(topology));
        if (hasChanged || this->time - node.reportedAt >= kReportInterval) {
            node.reportedAt = this->time;
            for (const FleetView::ReportTarget &link : node.view->takeReportTargets(this->time))
                this->send(index, this->indexOf(link.target.id.str()), false);
        }
    }
    if (this->time - node.announcedAt >= kUpdateInterval) {
        node.announcedAt = this->time;
        for (const bool isOwnDomain : {true, false}) {
            for (FleetView::Subscriber *subscriber : node.view->subscribers(isOwnDomain))
                this->send(index, this->indexOf(subscriber->id.str()), true);
        }
    }
    this->startCall(index);
}

void FleetModel::send(std::size_t from, std::size_t to, bool isBundle)
{
    ++this->sent;
    if (!this->passes(from, to) || !this->nodes[to].isRunning)
        return;
    Node &node = this->nodes[from];
    Message message;
    message.from = from;
    message.isBundle = isBundle;
    message.incarnation = node.incarnation;
    message.stamp = this->time;
    message.echo = node.lastMessages[to].stamp;
    message.echoIncarnation = node.lastMessages[to].incarnation;
    message.hasLostStore = node.source->isStoreLost(this->time);
    message.states = node.source->states();
    for (std::size_t i = 0; i < kStoreKinds; ++i)
        message.ages[i] = this->time - message.states[i].confirmedAt;
    this->nodes[to].inbox.push_back(message);
}

void FleetModel::receive(std::size_t index, const Message &message)
{
    Node &node = this->nodes[index];
    const Node &sender = this->nodes[message.from];
    node.lastMessages[message.from] = {message.stamp, message.incarnation};
    if (message.isBundle) {
        node.view->onPeerUpdate(sender.record.id, 1, this->time);
    } else {
        FleetView::Subscriber report;
        report.id = sender.record.id;
        report.domain = sender.record.domain;
        report.relayAddress = sender.record.relayAddress;
        report.heardAt = this->time;
        node.view->onReport(report);
    }
    KindStates states = message.states;
    const bool isEchoed = message.echoIncarnation == node.incarnation;
    for (std::size_t i = 0; i < kStoreKinds; ++i)
        states[i].confirmedAt = isEchoed ? message.echo - message.ages[i] : absl::InfinitePast();
    node.source->onPeerUpdate(sender.record.id, sender.record.relayAddress, message.hasLostStore,
                              states, this->time);
    KindState held = node.held;
    held.confirmedAt = std::max(held.confirmedAt, node.source->confirmedByOthers(kKind));
    if (held.current.isKnown())
        this->adopt(node, held);
}

void FleetModel::adopt(Node &node, const KindState &state)
{
    node.held = state;
    node.source->setHeldState(kKind, state);
}

void FleetModel::startCall(std::size_t index)
{
    Node &node = this->nodes[index];
    if (node.call != Call::None)
        return;
    const StoreSource::Step next = node.source->next(kKind, this->time);
    if (next.action == StoreSource::Action::Wait)
        return;
    node.callSentAt = this->time;
    if (next.action == StoreSource::Action::Fetch) {
        node.call = Call::Fetch;
        node.callTarget = this->indexOf(next.address);
        const Node &target = this->nodes[node.callTarget];
        node.callFails = !this->passes(index, node.callTarget)
            || !this->passes(node.callTarget, index) || !target.isRunning || target.isPaused;
        node.callEndsAt = this->time + (node.callFails ? kFetchTimeout : kStep);
        return;
    }
    ++this->calls;
    node.call = Call::Watch;
    node.callFails = node.store != StoreAnswer::Serve;
    const bool hasNewRevision = node.held.current.revision < this->revisionAt(this->time);
    node.watch = next.watch;
    absl::Duration wait = hasNewRevision ? kStep : std::max(kStep, node.watch);
    if (node.store == StoreAnswer::Refuse)
        wait = kStep;
    else if (node.store == StoreAnswer::Silent)
        wait = node.watch + kStoreTimeout;
    node.callEndsAt = this->time + wait;
}

void FleetModel::finishCall(std::size_t index)
{
    Node &node = this->nodes[index];
    const Call call = node.call;
    node.call = Call::None;
    if (call == Call::Fetch) {
        const Node &target = this->nodes[node.callTarget];
        if (node.callFails || !target.isRunning) {
            node.source->onFetchFailed(kKind, target.record.relayAddress, this->time);
            return;
        }
        node.source->onFetched(kKind);
        KindState state = target.held;
        state.current.revision = std::max(node.held.current.revision, state.current.revision);
        state.content.revision = std::max(node.held.content.revision, state.content.revision);
        state.confirmedAt = std::max(node.held.confirmedAt,
                                     node.callSentAt - (this->time - target.held.confirmedAt));
        this->adopt(node, state);
        return;
    }
    if (node.callFails || node.store != StoreAnswer::Serve) {
        node.source->onStoreFailed(this->time);
        return;
    }
    node.source->onStoreAnswered();
    const std::int64_t newest = this->revisionAt(this->time);
    KindState state = node.held;
    if (newest > state.current.revision)
        state.content.revision = newest;
    const bool waitedFully =
        newest == state.current.revision && this->time - node.callSentAt >= StoreSource::kWatchTime;
    state.current.revision = newest;
    state.confirmedAt =
        std::max(state.confirmedAt, waitedFully ? node.callSentAt + node.watch : node.callSentAt);
    this->adopt(node, state);
}

std::size_t FleetModel::indexOf(const std::string &name) const
{
    return static_cast<std::size_t>(std::stoul(name));
}

std::int64_t FleetModel::revisionAt(absl::Time moment) const
{
    const auto later = std::upper_bound(this->revisions.begin(), this->revisions.end(), moment);
    return later - this->revisions.begin() - 1;
}

absl::Duration FleetModel::lag(std::size_t node) const
{
    const auto next = static_cast<std::size_t>(this->nodes[node].held.current.revision + 1);
    if (next >= this->revisions.size())
        return absl::ZeroDuration();
    return this->time - this->revisions[next];
}

std::vector<std::size_t> FleetModel::wronglyConfirmed() const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const KindState &held = this->nodes[i].held;
        if (held.confirmedAt != absl::InfinitePast()
            && held.current.revision < this->revisionAt(held.confirmedAt))
            result.push_back(i);
    }
    return result;
}

absl::Time FleetModel::confirmedAt(std::size_t node) const
{
    return this->nodes[node].held.confirmedAt;
}

std::size_t FleetModel::aggregators() const
{
    return static_cast<std::size_t>(
        std::count_if(this->nodes.begin(), this->nodes.end(), [](const Node &node) {
            return node.isRunning && node.view->aggregator() == nullptr;
        }));
}

} // namespace foxtailtally

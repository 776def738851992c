#include "tests/fleet/fleet_model.h"

#include <algorithm>
#include <utility>

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

/** Time without an answer after which a watch is given up if another instance has a newer version,
 * and delay after an answer of an earlier era. */
constexpr absl::Duration kOvertakenTimeout = absl::Milliseconds(300);
constexpr absl::Duration kOutdatedDelay = absl::Milliseconds(100);

constexpr double kHighCapacity = 100;

} // namespace

FleetModel::FleetModel(const Options &options)
    : options(options)
    , nodes(options.domains * options.perDomain)
    , passes([](std::size_t, std::size_t) { return true; })
{
    this->history.push_back({this->newest, this->time});
    this->shown = this->history;
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
    node.isShown = false;
    node.mustList = true;
    node.answer.reset();
    node.idleUntil = absl::InfinitePast();
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
    ++this->newest;
    this->rewrite();
}

void FleetModel::rewrite()
{
    if (this->history.back().version == this->newest)
        return;
    this->history.push_back({this->newest, this->time});
    this->shown.push_back(this->history.back());
    this->notifyWatches();
}

void FleetModel::restore(std::size_t copy, bool breaksCalls)
{
    ++this->era;
    this->history.resize(std::min(copy, this->history.size()));
    this->shown.push_back({this->history.back().version, this->time});
    for (Node &node : this->nodes) {
        const bool isAtStore = node.call == Call::Watch || node.call == Call::List;
        if (!breaksCalls || !isAtStore || node.answer)
            continue;
        node.callFails = true;
        node.callEndsAt = std::min(node.callEndsAt, this->time + kStep);
    }
}

void FleetModel::notifyWatches()
{
    for (Node &node : this->nodes) {
        if (node.call == Call::Watch && !node.callFails && node.store == StoreAnswer::Serve
            && this->newestRevision() > node.held.current.revision)
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
            this->arriveAnswer(this->nodes[i]);
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
    if (node.answer)
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
    this->confirm(node, node.source->confirmedByOthers(kKind));
    this->cancelCall(node);
}

bool FleetModel::isOutdated(const Node &node) const
{
    return node.held.current.era < node.source->era();
}

void FleetModel::cancelCall(Node &node)
{
    if (node.answer || (node.call != Call::Watch && node.call != Call::Fetch))
        return;
    const bool isOvertaken = node.call == Call::Watch
        && this->time - node.callSentAt > kOvertakenTimeout
        && node.source->isVersionOvertaken(kKind, this->time)
        && node.source->isOvertaken(kKind, this->time);
    if (this->isOutdated(node) || isOvertaken)
        node.call = Call::None;
}

void FleetModel::confirm(Node &node, absl::Time moment)
{
    if (!node.held.current.isKnown())
        return;
    if (node.isShown && !node.source->isVersionOvertaken(kKind, this->time))
        node.held.confirmedAt = std::max(node.held.confirmedAt, moment);
    node.source->setHeldState(kKind, node.held);
}

void FleetModel::startCall(std::size_t index)
{
    Node &node = this->nodes[index];
    if (node.call != Call::None || this->time < node.idleUntil)
        return;
    const StoreSource::Step next = node.source->next(kKind, this->time);
    if (next.action == StoreSource::Action::Wait)
        return;
    const bool mustList = node.mustList || next.mustList || this->isOutdated(node);
    node.callSentAt = this->time;
    if (next.action == StoreSource::Action::Fetch) {
        node.call = Call::Fetch;
        node.listsFetched = mustList;
        node.callTarget = this->indexOf(next.address);
        const Node &target = this->nodes[node.callTarget];
        node.callFails = !this->passes(index, node.callTarget)
            || !this->passes(node.callTarget, index) || !target.isRunning || target.isPaused;
        node.callEndsAt = this->time + (node.callFails ? kFetchTimeout : kStep);
        return;
    }
    ++this->calls;
    node.call = mustList ? Call::List : Call::Watch;
    node.callFails = node.store != StoreAnswer::Serve;
    node.watch = mustList ? absl::ZeroDuration() : next.watch;
    // A watch from a revision that the store does not have is answered at once.
    const bool isCurrent = node.held.current.revision == this->newestRevision();
    absl::Duration wait = isCurrent ? std::max(kStep, node.watch) : kStep;
    if (node.store == StoreAnswer::Refuse)
        wait = kStep;
    else if (node.store == StoreAnswer::Silent)
        wait = node.watch + kStoreTimeout;
    node.callEndsAt = this->time + wait;
}

FleetModel::Answer FleetModel::answerOfStore(const Node &node) const
{
    Answer answer;
    answer.position = {this->era, this->newestRevision()};
    answer.content = answer.position;
    answer.version = this->history.back().version;
    if (node.call == Call::List)
        return answer;
    const std::int64_t from = node.held.current.revision;
    answer.isGone = from > answer.position.revision;
    answer.waitedFully =
        from == answer.position.revision && this->time - node.callSentAt >= StoreSource::kWatchTime;
    if (from >= answer.position.revision)
        answer.content = node.held.content;
    return answer;
}

FleetModel::Answer FleetModel::answerOfRelay(const Node &node) const
{
    const Node &target = this->nodes[node.callTarget];
    Answer answer;
    answer.position = target.held.current;
    answer.content = target.held.content;
    answer.version = target.held.version;
    answer.confirmedAt = target.held.confirmedAt;
    answer.isGone = !node.listsFetched && target.held.current.era != node.held.current.era;
    return answer;
}

void FleetModel::arriveAnswer(Node &node)
{
    if (!node.isRunning || node.call == Call::None || node.answer || this->time < node.callEndsAt)
        return;
    const bool isFetch = node.call == Call::Fetch;
    const Node &target = this->nodes[node.callTarget];
    if (node.callFails || (isFetch ? !target.isRunning : node.store != StoreAnswer::Serve)) {
        node.answer = Answer {};
        node.answer->hasFailed = true;
        return;
    }
    node.answer = isFetch ? this->answerOfRelay(node) : this->answerOfStore(node);
}

void FleetModel::finishCall(std::size_t index)
{
    Node &node = this->nodes[index];
    const Call call = std::exchange(node.call, Call::None);
    const Answer answer = *std::exchange(node.answer, std::nullopt);
    const std::string relay = this->nodes[node.callTarget].record.relayAddress;
    if (answer.hasFailed) {
        if (call == Call::Fetch)
            node.source->onFetchFailed(kKind, relay, this->time);
        else
            node.source->onStoreFailed(this->time);
        return;
    }
    if (answer.position.era < node.source->era()) {
        if (call == Call::Fetch)
            node.source->onFetchFailed(kKind, relay, this->time);
        node.idleUntil = this->time + kOutdatedDelay;
        return;
    }
    const bool isList = call == Call::List || (call == Call::Fetch && node.listsFetched);
    node.source->onEra(answer.position.era);
    if (answer.isGone) {
        node.mustList = true;
        return;
    }
    if (call == Call::Fetch)
        node.source->onFetched(kKind);
    else
        node.source->onStoreAnswered();
    if (!isList && answer.position.era != node.held.current.era) {
        node.mustList = true;
        return;
    }
    if (!isList && answer.content == node.held.content) {
        node.held.current = std::max(node.held.current, answer.position);
    } else {
        this->onObject(node, answer);
        node.held.content = isList ? answer.content : std::max(node.held.content, answer.content);
        node.held.current = isList ? answer.position : std::max(node.held.current, answer.position);
        node.mustList = false;
    }
    const absl::Duration age = answer.confirmedAt == absl::InfiniteFuture()
        ? absl::ZeroDuration()
        : this->time - answer.confirmedAt;
    this->confirm(node, node.callSentAt + (answer.waitedFully ? node.watch : -age));
}

void FleetModel::onObject(Node &node, const Answer &answer)
{
    // A version never goes back; the store shows an older one after a restore.
    node.isShown = answer.version >= node.held.version;
    node.held.version = std::max(node.held.version, answer.version);
}

std::size_t FleetModel::indexOf(const std::string &name) const
{
    return static_cast<std::size_t>(std::stoul(name));
}

std::int64_t FleetModel::newestRevision() const
{
    return static_cast<std::int64_t>(this->history.size()) - 1;
}

std::int64_t FleetModel::oldestVersionSince(absl::Time moment) const
{
    std::int64_t oldest = this->newest;
    for (auto entry = this->shown.rbegin(); entry != this->shown.rend(); ++entry) {
        oldest = std::min(oldest, entry->version);
        if (entry->acknowledgedAt <= moment)
            break;
    }
    return oldest;
}

absl::Duration FleetModel::lag(std::size_t node) const
{
    for (const Revision &revision : this->history) {
        if (revision.version > this->nodes[node].held.version)
            return this->time - revision.acknowledgedAt;
    }
    return absl::ZeroDuration();
}

std::vector<std::size_t> FleetModel::wronglyConfirmed() const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const KindState &held = this->nodes[i].held;
        if (held.confirmedAt != absl::InfinitePast()
            && held.version < this->oldestVersionSince(held.confirmedAt))
            result.push_back(i);
    }
    return result;
}

std::size_t FleetModel::instancesInEra() const
{
    return static_cast<std::size_t>(
        std::count_if(this->nodes.begin(), this->nodes.end(), [this](const Node &node) {
            return node.isRunning && node.held.current.era == this->era;
        }));
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

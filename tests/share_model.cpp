#include "tests/share_model.h"

#include <algorithm>

namespace foxtailtally {

namespace {

constexpr std::size_t kNodes = 6;
constexpr absl::Duration kRunLength = absl::Seconds(60);
constexpr std::int64_t kMaxPermitMs = 10000;
/**
 * Counted from when all faults have ended, no permit runs and the platform's list is up to date:
 * loans of earlier rosters expire (8.1 s), requests are retried (0.5 s), and a load report taken
 * under the new owner arrives (2 s for the last permits, 3 s of lag, 1 s between reports), with 1%
 * clock error.
 */
constexpr absl::Duration kFullUseBound = absl::Seconds(16);

std::size_t indexOf(const InstanceId &id)
{
    return static_cast<std::size_t>(id.str().back() - '0');
}

} // namespace

ShareModel::ShareModel(std::uint64_t seed, ShareModelFault fault)
    : random(seed)
    , fault(fault)
    , time(absl::FromUnixSeconds(1000000))
    , nodes(kNodes)
{
    for (int i = 0; i < 3; ++i)
        this->servers.push_back({BackendServerId("s" + std::to_string(i)),
                                 GroupId(i < 2 ? "g0" : "g1"),
                                 1 + static_cast<std::int64_t>(this->random.below(7)),
                                 {}});
    this->roster.domain = FailureDomainId("d");
    this->roster.current.version = 1;
    for (std::size_t i = 0; i < kNodes; ++i) {
        this->nodes[i].member.instance = InstanceId("n" + std::to_string(i));
        this->nodes[i].rate = 0.99 + 0.02 * this->random.uniform();
        this->nodes[i].offset = this->randomDelay(1000000);
        this->startNode(i);
        if (i < 2 + seed % 5)
            this->roster.current.members.push_back(this->nodes[i].member);
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
        for (std::size_t j = 0; j < kNodes; ++j)
            this->nodes[i].ledger->onPeerState(this->nodes[j].member, PeerState::Alive,
                                               this->clockOf(this->nodes[i]));
        this->deliverRoster(i, this->randomDelay(100));
        this->at(this->time + this->randomDelay(250), [this, i] { this->tick(i); });
    }
    for (std::size_t s = 0; s < this->servers.size(); ++s)
        this->at(this->time + this->randomDelay(1000), [this, s] { this->report(s); });
    this->at(this->time, [this] { this->requestPermits(); });
    this->at(this->time, [this] { this->sendInstanceLists(); });
}

absl::Duration ShareModel::randomDelay(std::int64_t ms)
{
    return absl::Microseconds(
        static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(ms) * 1000 + 1)));
}

void ShareModel::at(absl::Time when, Step step)
{
    this->steps.emplace(when, std::move(step));
}

void ShareModel::onNode(std::size_t index, absl::Time when, std::function<void(Node &)> step)
{
    this->at(when, [this, index, step = std::move(step)] {
        Node &node = this->nodes[index];
        if (this->time < node.pausedUntil)
            this->onNode(index, node.pausedUntil, step);
        else
            step(node);
    });
}

void ShareModel::advance(absl::Time until)
{
    while (!this->steps.empty() && this->steps.begin()->first <= until && this->violation.empty()) {
        auto next = this->steps.extract(this->steps.begin());
        this->time = next.key();
        next.mapped()();
    }
    this->time = until;
}

absl::Time ShareModel::clockOf(const Node &node) const
{
    return absl::UnixEpoch() + node.offset + (this->time - absl::UnixEpoch()) * node.rate;
}

void ShareModel::startNode(std::size_t index)
{
    Node &node = this->nodes[index];
    ++node.member.incarnation;
    node.ledger = std::make_unique<ShareLedger>(node.member, this->fault.timing);
    node.isLeaving = false;
    node.granted.clear();
    std::vector<ShareGroup> groups {{GroupId("g0"), {}}, {GroupId("g1"), {}}};
    for (const Server &server : this->servers)
        groups[server.group.str() == "g0" ? 0 : 1].servers.push_back(server.id);
    node.ledger->setGroups(groups, this->clockOf(node));
}

void ShareModel::crash(std::size_t index)
{
    this->startNode(index);
    this->deliverRoster(index, this->randomDelay(3000));
    for (std::size_t i = 0; i < kNodes; ++i)
        this->nodes[index].ledger->onPeerState(this->nodes[i].member, PeerState::Alive,
                                               this->clockOf(this->nodes[index]));
}

void ShareModel::sendInstanceLists()
{
    std::vector<RosterMember> listed;
    for (const Node &node : this->nodes)
        listed.push_back(node.member);
    for (std::size_t i = 0; i < kNodes; ++i)
        this->onNode(i, this->time + this->randomDelay(3000), [this, i, listed](Node &node) {
            this->executeActions(i, node.ledger->onInstanceList(listed, this->clockOf(node)));
        });
    this->at(this->time + absl::Seconds(1), [this] { this->sendInstanceLists(); });
}

void ShareModel::executeActions(std::size_t index, ShareActions actions)
{
    for (const ShareAction &action : actions) {
        if (const auto *request = std::get_if<SendLoanRequest>(&action))
            this->send(index, request->to, action);
        else
            this->send(index, std::get<SendLoanOffer>(action).to, action);
    }
}

void ShareModel::send(std::size_t from, const InstanceId &to, const ShareAction &action)
{
    const std::size_t target = indexOf(to);
    if (this->blockedLinks.contains({from, target})
        || (!this->isCalm && this->random.below(10) == 0))
        return;
    const std::uint64_t copies = !this->isCalm && this->random.below(10) == 0 ? 2 : 1;
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        const bool isSlow = !this->isCalm && this->random.below(8) == 0;
        const absl::Time when = this->time + this->randomDelay(isSlow ? 15000 : 5);
        this->onNode(target, when, [this, target, action](Node &node) {
            const absl::Time now = this->clockOf(node);
            if (const auto *request = std::get_if<SendLoanRequest>(&action)) {
                this->executeActions(target, node.ledger->onLoanRequest(request->request, now));
                return;
            }
            LoanOffer offer = std::get<SendLoanOffer>(action).offer;
            if (this->fault.countsFromReceipt)
                offer.requestSentAt = absl::ToUnixNanos(now);
            this->executeActions(target, node.ledger->onLoanOffer(offer, now));
        });
    }
}

void ShareModel::tick(std::size_t index)
{
    this->onNode(index, this->time, [this, index](Node &node) {
        this->executeActions(index, node.ledger->onTick(this->clockOf(node)));
        this->checkRights();
        this->at(this->time + absl::Milliseconds(250), [this, index] { this->tick(index); });
    });
}

void ShareModel::checkRights()
{
    constexpr std::int64_t kUnits = 1000;
    for (const GroupId &group : {GroupId("g0"), GroupId("g1")}) {
        std::int64_t units = 0;
        for (const Node &node : this->nodes)
            units += node.ledger->usableUnits(group, kUnits, this->clockOf(node));
        if (units > kUnits)
            this->violation = group.str() + " has rights for more than its limit at "
                + absl::FormatTime(this->time, absl::UTCTimeZone());
    }
}

void ShareModel::report(std::size_t index)
{
    const Server &server = this->servers[index];
    const absl::Time takenAt = this->time;
    const auto total = static_cast<std::int64_t>(server.running.size());
    for (std::size_t i = 0; i < kNodes; ++i) {
        const absl::Duration delay = this->randomDelay(2500);
        const bool knowsOwn = this->random.below(2) == 0;
        this->onNode(i, takenAt + delay, [=, this, &server](Node &node) {
            std::int64_t own = 0;
            for (const auto &[permit, run] : server.running)
                own += knowsOwn && run.first == node.member && run.second <= takenAt ? 1 : 0;
            LoadReport report;
            report.server = server.id;
            report.running = total;
            report.heldTokens = total;
            if (!this->fault.ignoresReportAge)
                report.age = (this->time - takenAt) * 1.02;
            node.ledger->onLoadReport(server.group, report, {own, own}, this->clockOf(node));
        });
    }
    this->at(this->time + absl::Seconds(1), [this, index] { this->report(index); });
}

void ShareModel::requestPermits()
{
    if (!this->isRequestingPermits)
        return;
    const std::size_t entry = this->random.below(kNodes);
    const std::size_t owner = this->random.below(kNodes);
    Server &server = this->servers[this->random.below(this->servers.size())];
    this->onNode(entry, this->time, [=, this, &server](Node &node) {
        const absl::Time sentAt = this->clockOf(node);
        const Incarnation incarnation = node.member.incarnation;
        this->onNode(
            owner, this->time + this->randomDelay(this->random.below(5) == 0 ? 3000 : 5),
            [=, this, &server](Node &at) { this->grant(at, entry, server, sentAt, incarnation); });
    });
    this->at(this->time + this->randomDelay(60), [this] { this->requestPermits(); });
}

void ShareModel::grant(Node &owner, std::size_t entry, Server &server, absl::Time sentAt,
                       Incarnation entryIncarnation)
{
    const ServerUse limit {server.limit, server.limit};
    std::int64_t &granted = owner.granted[server.id];
    if (granted
        >= owner.ledger->usable(server.group, server.id, limit, this->clockOf(owner)).requests)
        return;
    ++granted;
    owner.ledger->setOwnUse(server.group, server.id, {granted, granted});
    const RosterMember by = owner.member;
    this->onNode(entry, this->time + this->randomDelay(this->random.below(5) == 0 ? 3000 : 5),
                 [=, this, &server](Node &node) {
                     const bool isInTime = this->clockOf(node) - sentAt <= kPermitStartBy
                         && node.member.incarnation == entryIncarnation;
                     if (!isInTime)
                         this->release(by, server.id);
                     else
                         this->at(this->time + this->randomDelay(500),
                                  [=, this, &server] { this->startPermit(by, server); });
                 });
}

void ShareModel::startPermit(const RosterMember &owner, Server &server)
{
    const std::uint64_t permit = ++this->permits;
    server.running[permit] = {owner, this->time};
    ++this->started;
    if (static_cast<std::int64_t>(server.running.size()) > server.limit)
        this->violation = server.id.str() + " runs more than its limit at "
            + absl::FormatTime(this->time, absl::UTCTimeZone());
    this->at(this->time + this->randomDelay(kMaxPermitMs), [=, this, &server] {
        server.running.erase(permit);
        this->release(owner, server.id);
    });
}

void ShareModel::release(const RosterMember &owner, const BackendServerId &server)
{
    this->onNode(indexOf(owner.instance), this->time + this->randomDelay(20),
                 [this, owner, server](Node &node) {
                     if (node.member != owner)
                         return;
                     const std::int64_t left = --node.granted[server];
                     const auto found =
                         std::find_if(this->servers.begin(), this->servers.end(),
                                      [&](const Server &s) { return s.id == server; });
                     node.ledger->setOwnUse(found->group, server, {left, left});
                 });
}

void ShareModel::writeRoster(bool all)
{
    std::vector<RosterMember> members;
    for (const Node &node : this->nodes)
        if (all || this->random.below(4) != 0)
            members.push_back(node.member);
    const Node &writer = this->nodes[this->random.below(kNodes)];
    const auto next =
        nextRoster(this->roster, members, [&](const RosterMember &member, std::uint64_t version) {
            const Node &node = this->nodes[indexOf(member.instance)];
            return (node.member == member && node.ledger->settledVersion() > version)
                || writer.ledger->hasRelinquished(member, version, this->clockOf(writer));
        });
    if (!next.ok() || members.empty())
        return;
    this->roster = *next;
    if (this->fault.omitsUnsettledRosters)
        this->roster.unsettled.clear();
    for (std::size_t i = 0; i < kNodes; ++i)
        this->deliverRoster(i, this->randomDelay(this->isCalm ? 100 : 12000));
}

void ShareModel::deliverRoster(std::size_t index, absl::Duration delay)
{
    this->onNode(index, this->time + delay, [this, index, roster = this->roster](Node &node) {
        this->executeActions(index, node.ledger->setRoster(roster, this->clockOf(node)));
    });
}

void ShareModel::apply(const ShareModelEvent &event)
{
    const std::size_t index = event.node % kNodes;
    const std::size_t peer = event.peer % kNodes;
    Node &node = this->nodes[index];
    const absl::Time until = this->time + absl::Milliseconds(event.lengthMs % 20000);
    switch (event.kind % 7) {
    case 0:
        node.pausedUntil = std::max(node.pausedUntil, until);
        return;
    case 1:
        this->crash(index);
        return;
    case 2:
        this->blockedLinks.insert({index, peer});
        this->at(until, [this, index, peer] { this->blockedLinks.erase({index, peer}); });
        return;
    case 3:
        this->partition(event.peer, absl::Milliseconds(event.lengthMs % 20000));
        return;
    case 4:
        // An instance's view of the membership may be wrong or differ from that of others.
        this->onNode(index, this->time, [this, index, peer, event](Node &at) {
            const auto state = event.lengthMs % 2 == 0 ? PeerState::Dead : PeerState::Alive;
            this->executeActions(
                index, at.ledger->onPeerState(this->nodes[peer].member, state, this->clockOf(at)));
        });
        return;
    case 5:
        this->writeRoster(false);
        return;
    default:
        this->onNode(index, this->time, [this, index](Node &at) {
            at.isLeaving = true;
            this->executeActions(index, at.ledger->leave(this->clockOf(at)));
        });
    }
}

void ShareModel::partition(std::uint8_t mask, absl::Duration length)
{
    const absl::Time until = this->time + length;
    const auto setView = [this](std::size_t from, std::size_t to, PeerState state) {
        this->onNode(from, this->time, [this, from, to, state](Node &at) {
            this->executeActions(
                from, at.ledger->onPeerState(this->nodes[to].member, state, this->clockOf(at)));
        });
    };
    for (std::size_t from = 0; from < kNodes; ++from) {
        for (std::size_t to = 0; to < kNodes; ++to) {
            if ((mask >> from & 1) == (mask >> to & 1))
                continue;
            this->blockedLinks.insert({from, to});
            this->at(this->time + this->randomDelay(4000),
                     [=] { setView(from, to, PeerState::Dead); });
            this->at(until, [=, this] { this->blockedLinks.erase({from, to}); });
            this->at(until + this->randomDelay(4000), [=] { setView(from, to, PeerState::Alive); });
        }
    }
}

void ShareModel::endFaults()
{
    this->isCalm = true;
    this->isRequestingPermits = false;
    this->blockedLinks.clear();
    for (Node &node : this->nodes)
        node.pausedUntil = absl::InfinitePast();
}

void ShareModel::restoreMembership()
{
    for (std::size_t i = 0; i < kNodes; ++i)
        if (this->nodes[i].isLeaving)
            this->crash(i);
    for (std::size_t i = 0; i < kNodes; ++i)
        for (const Node &peer : this->nodes)
            this->executeActions(i,
                                 this->nodes[i].ledger->onPeerState(peer.member, PeerState::Alive,
                                                                    this->clockOf(this->nodes[i])));
}

std::string ShareModel::checkFullUse()
{
    for (const Server &server : this->servers) {
        int owners = 0;
        std::int64_t units = 0;
        for (const Node &node : this->nodes) {
            const ServerUse use = node.ledger->usable(
                server.group, server.id, {server.limit, server.limit}, this->clockOf(node));
            owners += use.requests > 0 ? 1 : 0;
            units += use.requests;
        }
        if (owners != 1 || units != server.limit)
            return server.id.str() + ": " + std::to_string(owners) + " owners use "
                + std::to_string(units) + " of " + std::to_string(server.limit);
    }
    return {};
}

std::string ShareModel::run(const std::vector<ShareModelEvent> &events)
{
    const absl::Time start = this->time;
    for (const ShareModelEvent &event : events)
        this->at(start + absl::Milliseconds(event.atMs % 60000),
                 [this, event] { this->apply(event); });
    this->advance(start + kRunLength);
    this->endFaults();
    // Wait until slow datagrams, permits and rosters of the minute with faults have ended.
    this->advance(this->time + absl::Seconds(15) + absl::Milliseconds(kMaxPermitMs));
    this->restoreMembership();
    // The platform's list shows the last restarts within 4 s.
    this->advance(this->time + absl::Seconds(4));
    const std::uint64_t before = this->roster.current.version;
    for (int attempt = 0; attempt < 20 && this->roster.current.version == before; ++attempt) {
        this->writeRoster(true);
        this->advance(this->time + absl::Seconds(1));
    }
    this->advance(this->time + kFullUseBound);
    if (!this->violation.empty())
        return this->violation;
    return this->checkFullUse();
}

absl::Duration ShareModel::plannedStop()
{
    this->isCalm = true;
    this->advance(this->time + absl::Seconds(30));
    this->isRequestingPermits = false;
    const GroupId group = this->servers[0].group;
    const auto owner = std::find_if(this->nodes.begin(), this->nodes.end(), [&](const Node &n) {
        return n.ledger->usableUnits(group, 1000, this->clockOf(n)) == 1000;
    });
    if (owner == this->nodes.end())
        return absl::InfiniteDuration();
    const absl::Time start = this->time;
    this->executeActions(static_cast<std::size_t>(owner - this->nodes.begin()),
                         owner->ledger->leave(this->clockOf(*owner)));
    while (this->time < start + absl::Seconds(20)) {
        this->advance(this->time + absl::Milliseconds(1));
        for (const Node &node : this->nodes) {
            const absl::Time now = this->clockOf(node);
            const std::int64_t usable =
                node.ledger->usable(group, this->servers[0].id, {1000, 1000}, now).requests;
            if (&node != &*owner && usable >= 1000 - this->servers[0].limit)
                return this->time - start;
        }
    }
    return absl::InfiniteDuration();
}

} // namespace foxtailtally

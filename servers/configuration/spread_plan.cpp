#include "servers/configuration/spread_plan.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

constexpr std::size_t kWatchersPerDomain = 2;
/** Instances that may take the watch when lower-ranked ones do not reach the platform. Bounds the
 * calls of a domain during an outage. */
constexpr std::size_t kWatchCandidates = 4;
/**
 * Interval between confirmation requests for a document that no other instance is known to hold.
 */
constexpr absl::Duration kConfirmationInterval = absl::Milliseconds(500);
/** Time added to a watch's time before it counts as failed. */
constexpr absl::Duration kWatchMargin = absl::Seconds(5);
constexpr int kMaxDoublings = 10;
/** Rejected documents kept between two calls of takeRejectedDocuments(). */
constexpr std::size_t kMaxRejectedDocuments = 16;

} // namespace

SpreadPlan::SpreadPlan(SpreadSettings settings, DocumentStore &store)
    : settings(std::move(settings))
    , store(store)
    , gate(this->settings.seedPeers)
{ }

void SpreadPlan::setLive(absl::Span<const InstanceId> live)
{
    for (auto &[id, peer] : this->peers)
        peer.isLive = false;
    for (const InstanceId &id : live)
        if (id != this->settings.self)
            this->peers[id].isLive = true;
    absl::erase_if(this->peers, [](const auto &item) { return !item.second.isLive; });
}

void SpreadPlan::onInstanceList(absl::Span<const InstanceId> listed, absl::Time requestedAt)
{
    if (requestedAt < this->listRequestedAt)
        return;
    this->listRequestedAt = requestedAt;
    this->isListedAlone = std::all_of(listed.begin(), listed.end(), [this](const InstanceId &id) {
        return id == this->settings.self;
    });
}

void SpreadPlan::onGossip(const InstanceId &from, const DocumentGossip &gossip)
{
    const auto found = this->peers.find(from);
    if (found != this->peers.end())
        found->second.gossip = gossip;
}

void SpreadPlan::onWatchReply(const WatchReply &reply, absl::Time now)
{
    for (const DocumentKind kind : kDocumentKinds) {
        KindState &state = this->state(kind);
        if (reply.token == 0 || state.watch.token != reply.token)
            continue;
        state.watch.token = 0;
        if (reply.outcome == WatchReply::Outcome::Failed) {
            this->failWatch(state, now);
            return;
        }
        state.watch.failures = 0;
        state.watch.isAnswered = true;
        this->reachesPlatform = true;
        state.watch.nextAt = now;
        // Existing objects have versions above 0, so a watch from version 0 that ends without a
        // change means that the object does not exist.
        if (reply.outcome != WatchReply::Outcome::Changed && state.watch.version == 0)
            this->gate.onPlatformAnswer(kind, 0);
        // The platform gives this answer at once, so the next watch is delayed.
        if (reply.outcome == WatchReply::Outcome::NotFound)
            state.watch.nextAt = now + this->settings.maxBackoff;
        if (reply.outcome != WatchReply::Outcome::Changed)
            return;
        state.watch.version = reply.version;
        DocumentProblems problems;
        auto document = parseDocument(kind, reply.body, problems);
        if (!document.ok()) {
            this->recordRejection(kind, 0, document.error());
            return;
        }
        this->gate.onPlatformAnswer(kind, document->number);
        this->acceptDocument(std::move(document).value(), now);
        return;
    }
}

void SpreadPlan::onPullAnswer(std::uint64_t token, const DocumentAnswer &answer, absl::Time now)
{
    const auto found = this->pulls.find(token);
    if (found == this->pulls.end())
        return;
    const Pull pull = found->second;
    this->pulls.erase(found);
    KindState &state = this->state(pull.kind);
    if (!pull.isStartupQuery)
        state.isPulling = false;
    state.failures = 0;
    const auto peer = this->peers.find(pull.to);
    if (peer != this->peers.end()) {
        std::uint64_t &known = peer->second.gossip.held[indexOf(pull.kind)];
        known = std::max(known, answer.number);
    }
    if (!this->settled)
        this->gate.onPeerAnswer(pull.to, pull.kind, answer.isSettled, answer.number);
    if (answer.document && answer.document->kind == pull.kind)
        this->acceptDocument(*answer.document, now);
    // The request was sent while this instance held pull.held, so both instances hold it now.
    if (this->settled && answer.number >= pull.held && this->gate.isSeed(pull.to))
        this->store.confirm(pull.kind, pull.held);
    this->settle();
}

void SpreadPlan::onPullFailed(std::uint64_t token, absl::Time now)
{
    this->failPull(token, now);
}

DocumentAnswer SpreadPlan::answerPull(const InstanceId &from, DocumentKind kind,
                                      std::uint64_t heldByPeer, bool wantsBody)
{
    const auto peer = this->peers.find(from);
    if (peer != this->peers.end()) {
        std::uint64_t &known = peer->second.gossip.held[indexOf(kind)];
        known = std::max(known, heldByPeer);
    }
    DocumentAnswer answer;
    answer.kind = kind;
    answer.isSettled = this->settled;
    const auto held = this->store.held(kind);
    if (!held)
        return answer;
    answer.number = held->number;
    if (wantsBody && held->number > heldByPeer)
        answer.document = *held;
    return answer;
}

std::vector<SpreadAction> SpreadPlan::onTick(absl::Time now, Random &random)
{
    Actions actions;
    this->expire(now);
    this->settle();
    for (const DocumentKind kind : kDocumentKinds) {
        this->confirmIfAlone(kind);
        this->watch(kind, now, random, actions);
        this->querySeeds(kind, now, actions);
        this->pull(kind, now, random, actions);
    }
    return actions;
}

std::vector<RejectedDocument> SpreadPlan::takeRejectedDocuments()
{
    return std::exchange(this->rejectedDocuments, {});
}

DocumentGossip SpreadPlan::gossip() const
{
    return {this->store.heldNumbers(), this->reachesPlatform, this->settled};
}

bool SpreadPlan::isReady() const
{
    if (!this->settled || this->store.inForce(DocumentKind::ReleaseNote) == nullptr)
        return false;
    const DocumentNumbers numbers = this->store.inForceNumbers();
    return std::all_of(kDocumentKinds.begin(), kDocumentKinds.end(), [&](DocumentKind kind) {
        return numbers[indexOf(kind)] >= this->required[indexOf(kind)];
    });
}

bool SpreadPlan::isWatcher() const
{
    std::size_t rank = 0;
    std::size_t reaching = 0;
    for (const auto &[id, peer] : this->peers) {
        if (!peer.isLive || !(id < this->settings.self))
            continue;
        ++rank;
        if (peer.gossip.reachesPlatform)
            ++reaching;
    }
    return rank < kWatchersPerDomain || (rank < kWatchCandidates && reaching < kWatchersPerDomain);
}

void SpreadPlan::expire(absl::Time now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[token, pull] : this->pulls)
        if (now >= pull.expiresAt)
            expired.push_back(token);
    for (const std::uint64_t token : expired)
        this->failPull(token, now);
    for (KindState &state : this->kinds)
        if (state.watch.token != 0 && now >= state.watch.expiresAt) {
            state.watch.token = 0;
            this->failWatch(state, now);
        }
}

void SpreadPlan::watch(DocumentKind kind, absl::Time now, Random &random, Actions &actions)
{
    Watch &watch = this->state(kind).watch;
    // A starting instance reads each object once, whatever its rank.
    const bool isNeeded = this->isWatcher() || (!this->settled && !watch.isAnswered);
    if (!isNeeded || watch.token != 0 || now < watch.nextAt)
        return;
    watch.token = ++this->lastToken;
    watch.expiresAt = now + this->settings.watchTime + kWatchMargin;
    // Spreads the retries of many instances after an outage.
    watch.nextAt = now + this->settings.firstBackoff * random.uniform();
    actions.emplace_back(
        WatchDocument {watch.token, kind, documentKey(kind, this->settings.domain), watch.version,
                       watch.isAnswered ? this->settings.watchTime : absl::ZeroDuration()});
}

void SpreadPlan::querySeeds(DocumentKind kind, absl::Time now, Actions &actions)
{
    KindState &state = this->state(kind);
    if (this->settled || now < state.nextStartupQueryAt)
        return;
    state.nextStartupQueryAt = now + this->settings.pullTimeout;
    for (const InstanceId &seed : this->gate.unanswered(kind))
        this->send(seed, kind, false, true, now, actions);
}

void SpreadPlan::pull(DocumentKind kind, absl::Time now, Random &random, Actions &actions)
{
    KindState &state = this->state(kind);
    const auto pulling = std::count_if(this->kinds.begin(), this->kinds.end(),
                                       [](const KindState &other) { return other.isPulling; });
    if (state.isPulling || now < state.nextPullAt || pulling >= this->settings.maxPulls)
        return;
    const std::uint64_t held = this->store.heldNumbers()[indexOf(kind)];
    if (const auto source = this->choosePeer(kind, held + 1, false, random)) {
        state.isPulling = true;
        this->send(*source, kind, true, false, now, actions);
        return;
    }
    const std::uint64_t inForce = this->store.inForceNumbers()[indexOf(kind)];
    if (!this->settled || held == inForce)
        return;
    auto confirmingPeer = this->choosePeer(kind, held, true, random);
    if (!confirmingPeer) {
        // The request tells the peer that there is a newer document, so it will pull it.
        confirmingPeer = this->choosePeer(kind, 0, true, random);
        state.nextPullAt = now + kConfirmationInterval;
    }
    if (!confirmingPeer)
        return;
    state.isPulling = true;
    this->send(*confirmingPeer, kind, false, false, now, actions);
}

void SpreadPlan::send(const InstanceId &to, DocumentKind kind, bool wantsBody, bool isStartupQuery,
                      absl::Time now, Actions &actions)
{
    const std::uint64_t held = this->store.heldNumbers()[indexOf(kind)];
    const std::uint64_t token = ++this->lastToken;
    this->pulls[token] = {to, kind, held, now + this->settings.pullTimeout, isStartupQuery};
    actions.emplace_back(PullDocument {token, to, kind, held, wantsBody});
}

void SpreadPlan::failPull(std::uint64_t token, absl::Time now)
{
    const auto found = this->pulls.find(token);
    if (found == this->pulls.end())
        return;
    KindState &state = this->state(found->second.kind);
    if (!found->second.isStartupQuery) {
        state.isPulling = false;
        state.nextPullAt = now + this->backoff(state.failures++);
    }
    this->pulls.erase(found);
}

void SpreadPlan::failWatch(KindState &kind, absl::Time now)
{
    this->reachesPlatform = false;
    kind.watch.nextAt = now + this->backoff(kind.watch.failures++);
}

void SpreadPlan::acceptDocument(Document document, absl::Time now)
{
    const DocumentKind kind = document.kind;
    const std::uint64_t number = document.number;
    const auto offered = this->store.offer(std::move(document));
    if (offered.ok() && *offered == DocumentStore::OfferOutcome::Held)
        this->state(kind).heldSince = now;
    if (!offered.ok())
        this->recordRejection(kind, number, offered.error());
    this->settle();
}

void SpreadPlan::recordRejection(DocumentKind kind, std::uint64_t number, std::error_code error)
{
    if (this->rejectedDocuments.size() < kMaxRejectedDocuments)
        this->rejectedDocuments.push_back({kind, number, error});
}

void SpreadPlan::settle()
{
    if (this->settled || !this->gate.isOpenFor(this->store.heldNumbers()))
        return;
    this->settled = true;
    for (const DocumentKind kind : kDocumentKinds) {
        this->required[indexOf(kind)] = this->gate.requiredNumber(kind).value_or(0);
        const std::uint64_t held = this->store.heldNumbers()[indexOf(kind)];
        // A peer that holds the number answered while this instance was starting. If that peer
        // restarts, it needs this instance's answer to start, so the number cannot be lost.
        if (held <= this->gate.highestPeerAnswer(kind))
            this->store.confirm(kind, held);
    }
}

void SpreadPlan::confirmIfAlone(DocumentKind kind)
{
    const bool hasLivePeer = std::any_of(this->peers.begin(), this->peers.end(),
                                         [](const auto &item) { return item.second.isLive; });
    // A list that is older than the document may lack an instance that has started since.
    if (!this->settled || hasLivePeer || !this->isListedAlone
        || this->listRequestedAt <= this->state(kind).heldSince)
        return;
    this->store.confirm(kind, this->store.heldNumbers()[indexOf(kind)]);
}

std::optional<InstanceId> SpreadPlan::choosePeer(DocumentKind kind, std::uint64_t atLeast,
                                                 bool seedsOnly, Random &random) const
{
    std::vector<InstanceId> candidates;
    for (const auto &[id, peer] : this->peers)
        if (peer.isLive && peer.gossip.held[indexOf(kind)] >= atLeast
            && (!seedsOnly || this->gate.isSeed(id)))
            candidates.push_back(id);
    if (candidates.empty())
        return std::nullopt;
    return candidates[random.below(candidates.size())];
}

absl::Duration SpreadPlan::backoff(int failures) const
{
    const int doublings = std::min(failures, kMaxDoublings);
    return std::min(this->settings.maxBackoff,
                    this->settings.firstBackoff * (std::int64_t {1} << doublings));
}

} // namespace foxtailtally

#include "servers/admission/group_servers.h"

#include "core/hash.h"
#include "servers/admission/long_context_planner.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

// A recent grant may not have reached the entry instance when it sent a report. This covers the
// start-by time and the transmission delays of the grant and of the report.
constexpr absl::Duration kPermitReportGrace = absl::Seconds(3);
// Time after the deadline of a request by which its entry instance must have released the permit.
constexpr absl::Duration kPermitExpiryGrace = absl::Seconds(30);
// The upper half of a permit number identifies owner and incarnation, so that the release of an
// earlier owner's permit cannot end a permit of this owner.
std::uint64_t ownerTagOf(const AdmissionOptions &options)
{
    const std::string name = absl::StrCat(options.owner.str(), "/", options.ownerIncarnation);
    return stableHash(name) >> 32;
}

} // namespace

GroupServers::GroupServers(AdmissionOptions options)
    : settings(std::move(options))
    , ownerTag(ownerTagOf(settings))
{ }

ServerSlot *GroupServers::find(const BackendServerId &server) const
{
    const auto found = this->serverSlots.find(server);
    return found == this->serverSlots.end() ? nullptr : found->second.get();
}

void GroupServers::setServers(std::span<const BackendServer> servers, absl::Time now)
{
    absl::flat_hash_set<BackendServerId> listed;
    const StartPredictor initial(this->settings.initialPrefillRate,
                                 this->settings.initialTokenTime);
    for (const BackendServer &server : servers) {
        listed.insert(server.id);
        ServerSlot *slot = this->find(server.id);
        if (slot == nullptr) {
            this->serverSlots.emplace(
                server.id, std::make_unique<ServerSlot>(server, initial, this->settings.readyAt));
            continue;
        }
        slot->server = server;
        slot->ramp.setLimits(server.coldLimit, server.warmLimit);
    }
    std::vector<BackendServerId> gone;
    for (const auto &[id, slot] : this->serverSlots) {
        if (!listed.contains(id))
            gone.push_back(id);
    }
    for (const BackendServerId &id : gone) {
        this->endPermits(PermitEnd::Orphaned, now, [&](const Permit &permit) {
            return std::find(permit.servers.begin(), permit.servers.end(), id)
                != permit.servers.end();
        });
        this->serverSlots.erase(id);
    }
}

void GroupServers::setLimits(std::span<const UsableUnits> limits)
{
    for (const auto &[id, slot] : this->serverSlots) {
        slot->coldUnits = 0;
        slot->ledger.setLimit(0);
    }
    for (const UsableUnits &units : limits) {
        ServerSlot *slot = this->find(units.server);
        if (slot == nullptr)
            continue;
        slot->coldUnits = units.coldUnits;
        slot->ledger.setLimit(units.memoryTokens);
    }
}

void GroupServers::onLoadReport(const LoadReport &report, absl::Time now)
{
    ServerSlot *slot = this->find(report.server);
    if (slot == nullptr || report.incarnation < slot->incarnation)
        return;
    if (report.incarnation == slot->incarnation && report.sequence <= slot->sequence)
        return;
    if (report.incarnation > slot->incarnation) {
        if (slot->incarnation != 0)
            this->restart(*slot, now - report.age, now);
        slot->incarnation = report.incarnation;
    }
    slot->sequence = report.sequence;
    slot->ledger.onReport(report, now);
    slot->ramp.onReport(report);
    if (slot->ledger.requests() == 0)
        slot->predictor.clearBacklog();
    if (now - report.age >= slot->reportNeededFrom)
        slot->hasReport = true;
}

void GroupServers::onSuspect(const Fingerprint &fingerprint, std::uint32_t deaths, absl::Time now)
{
    this->suspects.onReport(fingerprint, deaths, now);
    if (deaths > 0)
        this->markSuspect(fingerprint);
}

void GroupServers::markSuspect(const Fingerprint &fingerprint)
{
    for (const auto &[id, slot] : this->serverSlots)
        slot->ledger.markSuspect(fingerprint);
}

void GroupServers::markAllSuspect(const ServerSlot &slot, absl::Time now)
{
    for (const Fingerprint &fingerprint : slot.ledger.fingerprints()) {
        this->suspects.onServerLost(fingerprint, now);
        this->markSuspect(fingerprint);
    }
}

void GroupServers::restart(ServerSlot &slot, absl::Time reportTakenAt, absl::Time now)
{
    this->markAllSuspect(slot, now);
    slot.ledger.onRestart();
    slot.ramp.reset();
    // A request granted shortly before the restart may run on the new incarnation, so its permit
    // is kept as an orphan until a report shows that it does not run there.
    this->endPermits(PermitEnd::Orphaned, reportTakenAt, [&](const Permit &permit) {
        return std::find(permit.servers.begin(), permit.servers.end(), slot.server.id)
            != permit.servers.end();
    });
    slot.predictor.clearBacklog();
}

void GroupServers::onServerLost(const BackendServerId &server, absl::Time now)
{
    ServerSlot *slot = this->find(server);
    if (slot == nullptr)
        return;
    slot->hasReport = false;
    slot->reportNeededFrom = std::max(slot->reportNeededFrom, now);
    // Entry instances notice broken streams and release permits on this server alone. Permits for
    // contexts on several servers are ended here, so that the other parts are freed.
    this->endPermits(PermitEnd::Orphaned, now, [&](const Permit &permit) {
        return permit.servers.size() > 1
            && std::find(permit.servers.begin(), permit.servers.end(), server)
            != permit.servers.end();
    });
}

void GroupServers::onInstanceDead(const InstanceId &instance, Incarnation incarnation,
                                  absl::Time now)
{
    this->endPermits(PermitEnd::Orphaned, now, [&](const Permit &permit) {
        return permit.holder == instance && permit.holderIncarnation <= incarnation;
    });
    for (const auto &[id, slot] : this->serverSlots)
        slot->ledger.dropHoldsOf(instance);
}

void GroupServers::onPermitReport(const PermitReport &report, absl::Time now)
{
    absl::flat_hash_set<PermitId> held;
    for (const HeldPermit &permit : report.held)
        held.insert(permit.permit);
    std::vector<PermitId> ended;
    for (const auto &[id, permit] : this->permits) {
        if (permit.holder == report.from && permit.holderIncarnation == report.fromIncarnation
            && !held.contains(id) && permit.grantedAt + kPermitReportGrace < now)
            ended.push_back(id);
    }
    for (const PermitId id : ended)
        this->endPermit(this->permits.find(id), PermitEnd::Freed, now);
    for (const HeldPermit &permit : report.held) {
        if (!this->isOwn(permit.permit) && !this->permits.contains(permit.permit))
            this->adopt(report, permit, now);
    }
}

void GroupServers::adopt(const PermitReport &report, const HeldPermit &held, absl::Time now)
{
    const std::int64_t part = contextPart(held.tokens, held.servers.size());
    bool isKnown = false;
    for (const BackendServerId &server : held.servers) {
        ServerSlot *slot = this->find(server);
        if (slot == nullptr)
            continue;
        isKnown = true;
        slot->ledger.add(held.permit,
                         {report.from, part, now, held.deadline + kPermitExpiryGrace, held.isLong,
                          held.isSuspect, server != held.servers.front(), held.fingerprint});
    }
    if (!isKnown)
        return;
    Permit permit;
    permit.holder = report.from;
    permit.holderIncarnation = report.fromIncarnation;
    permit.servers = held.servers;
    permit.tokens = held.tokens;
    permit.grantedAt = now;
    permit.fingerprint = held.fingerprint;
    permit.isAdopted = true;
    this->spanning += permit.servers.size() > 1 ? 1 : 0;
    this->permits.emplace(held.permit, std::move(permit));
}

void GroupServers::endPermit(Permits::iterator permit, PermitEnd how, absl::Time at)
{
    for (const BackendServerId &server : permit->second.servers) {
        ServerSlot *slot = this->find(server);
        if (slot == nullptr)
            continue;
        if (how == PermitEnd::Freed)
            slot->ledger.remove(permit->first, at);
        else
            slot->ledger.orphan(permit->first, at);
        if (slot->ledger.requests() == 0)
            slot->predictor.clearBacklog();
    }
    this->spanning -= permit->second.servers.size() > 1 ? 1 : 0;
    this->permits.erase(permit);
}

template <typename Predicate>
void GroupServers::endPermits(PermitEnd how, absl::Time at, Predicate shouldEnd)
{
    std::vector<PermitId> ended;
    for (const auto &[id, permit] : this->permits) {
        if (shouldEnd(permit))
            ended.push_back(id);
    }
    for (const PermitId id : ended)
        this->endPermit(this->permits.find(id), how, at);
}

void GroupServers::release(const PermitRelease &release, absl::Time now)
{
    const auto found = this->permits.find(release.permit);
    if (found == this->permits.end()) {
        // The permit may be an orphan: its holder was declared dead or its server restarted.
        for (const auto &[id, slot] : this->serverSlots)
            slot->ledger.remove(release.permit, now);
        return;
    }
    if (release.outcome == PermitOutcome::Finished && !found->second.isAdopted) {
        this->suspects.onFinished(found->second.fingerprint);
        this->recordFinished(found->second, release, now);
    }
    if (release.outcome == PermitOutcome::Cancelled && !found->second.isAdopted)
        this->recordCancelled(found->second, release, now);
    if (release.outcome == PermitOutcome::ServerLost) {
        for (const BackendServerId &server : found->second.servers) {
            if (const ServerSlot *slot = this->find(server))
                this->markAllSuspect(*slot, now);
        }
    }
    this->endPermit(found, PermitEnd::Freed, now);
}

void GroupServers::recordFinished(const Permit &permit, const PermitRelease &release,
                                  absl::Time now)
{
    this->estimator.recordPermit(permit.tokens, now - permit.grantedAt, true);
    ServerSlot *slot = this->find(permit.servers.front());
    if (slot == nullptr)
        return;
    const bool isSlow =
        slot->predictor.isSlow(permit.predictedFirstToken, release.timeToFirstToken);
    slot->ramp.onSuccess(isSlow, slot->ledger.requests());
    slot->predictor.recordFirstToken({permit.requestClass, permit.promptTokens, permit.tokensAhead,
                                      permit.grantedAt, release.timeToFirstToken});
    slot->predictor.recordDecode(
        release.newTokens, now - permit.grantedAt - release.timeToFirstToken, permit.concurrent);
    slot->predictor.recordLength(release.newTokens, permit.maxNewTokens);
}

void GroupServers::recordCancelled(const Permit &permit, const PermitRelease &release,
                                   absl::Time now)
{
    // Without samples of cancelled requests, a class whose requests all run into their deadline
    // would never be recognized as slower than predicted.
    const bool hasFirstToken = release.timeToFirstToken > absl::ZeroDuration();
    const absl::Duration elapsed =
        hasFirstToken ? release.timeToFirstToken : now - permit.grantedAt;
    ServerSlot *slot = this->find(permit.servers.front());
    if (slot == nullptr || (!hasFirstToken && elapsed < permit.predictedFirstToken))
        return;
    slot->predictor.recordFirstToken({permit.requestClass, permit.promptTokens, permit.tokensAhead,
                                      permit.grantedAt, elapsed, hasFirstToken});
}

void GroupServers::expireHolds(absl::Time now)
{
    for (const auto &[id, slot] : this->serverSlots)
        slot->ledger.expireHolds(now);
}

GrantAction GroupServers::grant(const ReserveRequest &request,
                                const std::vector<ServerSlot *> &servers, absl::Time receivedAt,
                                absl::Time now)
{
    const RequestProfile &profile = request.profile;
    const PermitId id = (this->ownerTag << kCounterBits) | ++this->lastCounter;
    Permit permit;
    permit.holder = request.from;
    permit.holderIncarnation = request.fromIncarnation;
    permit.tokens = profile.memoryTokens();
    permit.requestClass = profile.requestClass;
    permit.promptTokens = profile.promptTokens;
    permit.maxNewTokens = profile.maxNewTokens;
    permit.grantedAt = now;
    permit.fingerprint = profile.fingerprint;
    ServerSlot &first = *servers.front();
    permit.concurrent = first.ledger.requests();
    const StartPredictor::Prediction predicted =
        first.predictor.predict(profile, permit.concurrent, now);
    permit.predictedFirstToken = predicted.firstToken;
    permit.tokensAhead = static_cast<std::int64_t>(
        absl::ToDoubleSeconds(first.predictor.backlog(profile.requestClass, now))
        * first.predictor.prefillRate());
    this->estimator.recordPermit(permit.tokens, predicted.end, false);

    const std::int64_t part = contextPart(permit.tokens, servers.size());
    for (ServerSlot *slot : servers) {
        permit.servers.push_back(slot->server.id);
        slot->ledger.dropHold(profile.id);
        slot->ledger.add(id,
                         {request.from, part, now, profile.deadline + kPermitExpiryGrace,
                          profile.promptTokens > kLongPromptTokens,
                          this->deathsOf(profile, now) > 0, slot != servers.front(),
                          profile.fingerprint});
    }
    first.predictor.addPrompt(profile, now);

    GrantAction action {request.from, {profile.id, id, permit.servers, kStartBy}};
    // The entry instance measures from when it sent its request, so the time spent waiting is
    // added.
    action.grant.startBy = now - receivedAt + kStartBy;
    this->spanning += servers.size() > 1 ? 1 : 0;
    this->permits.emplace(id, std::move(permit));
    return action;
}

std::int64_t GroupServers::largestLimit() const
{
    std::int64_t largest = 0;
    for (const auto &[id, slot] : this->serverSlots) {
        if (slot->isUsable())
            largest = std::max(largest, slot->ledger.limit());
    }
    return largest;
}

std::int64_t GroupServers::largestMemory() const
{
    std::int64_t largest = 0;
    for (const auto &[id, slot] : this->serverSlots)
        largest = std::max(largest, slot->server.memoryTokens);
    return largest;
}

std::int64_t GroupServers::totalMemory() const
{
    std::int64_t total = 0;
    for (const auto &[id, slot] : this->serverSlots)
        total += slot->server.leaving ? 0 : slot->server.memoryTokens;
    return total;
}

std::int64_t GroupServers::usedTokens() const
{
    std::int64_t used = 0;
    for (const auto &[id, slot] : this->serverSlots)
        used += slot->ledger.usedTokens();
    return used;
}

absl::Duration GroupServers::minServiceTime(const RequestProfile &profile) const
{
    absl::Duration shortest = absl::InfiniteDuration();
    for (const auto &[id, slot] : this->serverSlots)
        shortest = std::min(shortest, slot->predictor.predictAlone(profile).end);
    return shortest;
}

GroupSummary GroupServers::summary(absl::Time now)
{
    GroupSummary summary;
    summary.group = this->settings.group;
    summary.domain = this->settings.domain;
    summary.model = this->settings.model;
    summary.owner = this->settings.owner;
    summary.ownerIncarnation = this->settings.ownerIncarnation;
    summary.sequence = ++this->summarySequence;
    summary.startDelay.fill(absl::InfiniteDuration());
    summary.capacityTokens = this->totalMemory();
    summary.running = static_cast<std::int32_t>(this->permits.size());
    double rates = 0;
    for (const auto &[id, slot] : this->serverSlots) {
        if (!slot->isUsable())
            continue;
        ++summary.servers;
        rates += slot->predictor.prefillRate();
        summary.freeTokens +=
            std::max<std::int64_t>(slot->ledger.limit() - slot->ledger.usedTokens(), 0);
        const absl::Duration backlog = slot->predictor.backlog(RequestClass::Batch, now);
        summary.outstandingTokens += static_cast<std::int64_t>(absl::ToDoubleSeconds(backlog)
                                                               * slot->predictor.prefillRate());
        for (std::size_t i = 0; i < kRequestClassCount; ++i) {
            const auto requestClass = static_cast<RequestClass>(i);
            summary.startDelay[i] =
                std::min(summary.startDelay[i], slot->predictor.backlog(requestClass, now));
        }
    }
    summary.prefillRate = summary.servers == 0 ? 0 : rates / summary.servers;
    return summary;
}

} // namespace foxtailtally

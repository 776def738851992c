#include "load/experiment/fifo_admission.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

/** Waiting reservations per server before new ones are refused. */
constexpr std::size_t kQueuePerServer = 256;
/** The baseline measures nothing; this is the engines' nominal rate. */
constexpr double kNominalPrefillRate = 20000;

} // namespace

FifoAdmission::FifoAdmission(const std::vector<BackendServer> &servers)
{
    for (const BackendServer &facts : servers)
        this->servers.push_back(Server {facts});
}

AdmissionActions FifoAdmission::reserve(const RequestProfile &request, absl::Time /*now*/)
{
    if (this->waiting.size() >= kQueuePerServer * this->servers.size())
        return {
            ReservationRefused {request.id, {RefusalReason::QueueFull, true, absl::Seconds(1)}}};
    this->waiting.push_back(request);
    this->outstandingTokens += request.promptTokens;
    return this->grantWaiting();
}

AdmissionActions FifoAdmission::cancel(const RequestId &request, absl::Time /*now*/)
{
    const auto found =
        std::find_if(this->waiting.begin(), this->waiting.end(),
                     [&](const RequestProfile &entry) { return entry.id == request; });
    if (found == this->waiting.end())
        return {};
    this->outstandingTokens -= found->promptTokens;
    this->waiting.erase(found);
    return this->grantWaiting();
}

AdmissionActions FifoAdmission::release(const PermitRelease &release, absl::Time /*now*/)
{
    const auto found = this->permits.find(release.permit);
    if (found == this->permits.end())
        return {};
    this->freePermit(found->second);
    this->permits.erase(found);
    return this->grantWaiting();
}

AdmissionActions FifoAdmission::onLoadReport(const LoadReport &report, absl::Time /*now*/)
{
    Server *server = this->find(report.server);
    if (server == nullptr || report.incarnation < server->incarnation)
        return {};
    // A report of the lost incarnation may still be on its way.
    if (!server->isUsable && report.incarnation == server->incarnation)
        return {};
    server->incarnation = report.incarnation;
    server->isUsable = true;
    server->isWarm = report.warm;
    return this->grantWaiting();
}

AdmissionActions FifoAdmission::onServerLost(const BackendServerId &server, absl::Time /*now*/)
{
    Server *lost = this->find(server);
    if (lost != nullptr)
        lost->isUsable = false;
    return {};
}

AdmissionActions FifoAdmission::onTick(absl::Time /*now*/)
{
    return this->grantWaiting();
}

GroupSummary FifoAdmission::summary(absl::Time /*now*/)
{
    GroupSummary summary;
    const BackendServer &facts = this->servers.front().facts;
    summary.group = facts.group;
    summary.domain = facts.domain;
    summary.model = facts.model;
    summary.sequence = ++this->sequence;
    summary.running = static_cast<std::int32_t>(this->permits.size());
    summary.queued = static_cast<std::int32_t>(this->waiting.size());
    summary.outstandingTokens = this->outstandingTokens;
    summary.prefillRate = kNominalPrefillRate;
    for (const Server &server : this->servers) {
        if (!server.isUsable)
            continue;
        ++summary.servers;
        summary.freeTokens += server.freeTokens();
        summary.capacityTokens += server.facts.memoryTokens;
    }
    const double delay = static_cast<double>(this->outstandingTokens)
        / (kNominalPrefillRate * std::max(summary.servers, 1));
    summary.startDelay.fill(absl::Seconds(delay));
    summary.accepting = summary.servers > 0;
    return summary;
}

AdmissionActions FifoAdmission::grantWaiting()
{
    AdmissionActions actions;
    while (!this->waiting.empty()) {
        const RequestProfile &request = this->waiting.front();
        std::vector<Part> parts = this->place(request.memoryTokens());
        if (parts.empty())
            break;
        Grant grant;
        grant.request = request.id;
        grant.permit = ++this->lastPermit;
        grant.startBy = absl::InfiniteDuration();
        for (const Part &part : parts) {
            Server &server = this->servers[part.server];
            server.heldTokens += part.tokens;
            ++server.permits;
            grant.servers.push_back(server.facts.id);
        }
        this->permits[grant.permit] = {std::move(parts), request.promptTokens};
        actions.emplace_back(std::move(grant));
        this->waiting.pop_front();
    }
    return actions;
}

std::vector<FifoAdmission::Part> FifoAdmission::place(std::int64_t tokens) const
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
        if (this->servers[i].hasPlace())
            order.push_back(i);
    }
    std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
        return this->servers[a].permits < this->servers[b].permits;
    });
    for (const std::size_t i : order) {
        if (this->servers[i].freeTokens() >= tokens)
            return {{i, tokens}};
    }
    // A context that one empty server could hold waits for one; others are split.
    if (tokens <= this->servers.front().facts.memoryTokens)
        return {};
    std::vector<Part> parts;
    for (const std::size_t i : order) {
        const std::int64_t part = std::min(tokens, this->servers[i].freeTokens());
        if (part <= 0)
            continue;
        parts.push_back({i, part});
        tokens -= part;
        if (tokens == 0)
            return parts;
    }
    return {};
}

void FifoAdmission::freePermit(const Permit &permit)
{
    this->outstandingTokens -= permit.promptTokens;
    for (const Part &part : permit.parts) {
        Server &server = this->servers[part.server];
        server.heldTokens -= part.tokens;
        --server.permits;
    }
}

FifoAdmission::Server *FifoAdmission::find(const BackendServerId &server)
{
    for (Server &entry : this->servers) {
        if (entry.facts.id == server)
            return &entry;
    }
    return nullptr;
}

} // namespace foxtailtally

#include "load/experiment/simulation.h"
#include "load/experiment/simulation_state.h"

namespace foxtailtally {

namespace {

/** Changes by operators and new rosters are in force at all instances within this time. */
constexpr absl::Duration kConfigurationSpread = absl::Seconds(3);
/** Time until the load balancer stops sending to a lost instance (design section 7). */
constexpr absl::Duration kBalancerLag = absl::Seconds(5);
/** A new owner waits for the old loans to expire and for a load report (design section 4). */
constexpr absl::Duration kTakeoverDelay = absl::Seconds(11);

} // namespace

void Simulation::scheduleFaults()
{
    for (const ExperimentFault &fault : this->input.options.faults) {
        const absl::Time begin = this->input.start + fault.begin;
        const absl::Time end = this->input.start + fault.end;
        const int target = fault.target;
        const auto server = static_cast<std::size_t>(target);
        switch (fault.kind) {
        case FaultKind::DomainLost:
            this->loop.at(begin, [this, target]() { this->loseDomain(target); });
            this->loop.at(end, [this, target]() { this->restoreDomain(target); });
            break;
        case FaultKind::DomainOut:
            this->loop.at(begin, [this, target]() { this->setDomainOutOfService(target, true); });
            this->loop.at(end, [this, target]() { this->setDomainOutOfService(target, false); });
            break;
        case FaultKind::ServerLost:
            this->loop.at(begin, [this, server]() { this->fleet.kill(server, true); });
            this->loop.at(end, [this, server]() { this->fleet.restart(server); });
            break;
        case FaultKind::ServerCold:
            this->loop.at(begin, [this, server]() { this->fleet.turnCold(server); });
            break;
        }
    }
}

void Simulation::loseDomain(int domain)
{
    ++this->domainLosses[domain].active;
    ++this->domainLosses[domain].total;
    for (Group &group : this->groups)
        group.isLost = group.isLost || group.domain == domain;
    for (Entry &entry : this->entries) {
        if (entry.domain != domain)
            continue;
        entry.isLost = true;
        entry.balancedUntil = this->loop.now() + kBalancerLag;
    }
    for (std::size_t i = 0; i < this->flows.size(); ++i) {
        Flow &flow = this->flows[i];
        const bool isOnEntry =
            !flow.isDone && (flow.attempt > 0) && this->entries[flow.entry].domain == domain;
        if (isOnEntry) {
            // The caller's connection breaks: engines of other domains cancel the request, and the
            // caller sends it again through another instance.
            if (flow.permit != 0) {
                this->fleet.cancel(flow.servers.front(), flow.attemptId);
                this->release(flow, PermitOutcome::Cancelled);
            }
            flow.isWaiting = false;
            ++flow.attempt;
            this->arrive(i);
        } else if (!flow.isDone && flow.isWaiting && this->groups[flow.group].domain == domain) {
            flow.isWaiting = false;
            flow.lastReason = RefusalReason::ServerLost;
            this->tryNextGroup(i);
        }
    }
    for (std::size_t server = 0; server < this->fleet.servers().size(); ++server) {
        if (this->fleet.servers()[server].domain == domainName(domain))
            this->fleet.kill(server, true);
    }
}

void Simulation::restoreDomain(int domain)
{
    if (--this->domainLosses[domain].active > 0)
        return;
    for (std::size_t server = 0; server < this->fleet.servers().size(); ++server) {
        if (this->fleet.servers()[server].domain == domainName(domain))
            this->fleet.restart(server);
    }
    for (Entry &entry : this->entries) {
        if (entry.domain != domain)
            continue;
        entry.isLost = false;
        entry.balancedUntil = absl::InfiniteFuture();
    }
    const int losses = this->domainLosses[domain].total;
    this->loop.after(kTakeoverDelay, [this, domain, losses]() {
        if (losses != this->domainLosses[domain].total)
            return;
        for (Group &group : this->groups) {
            if (group.domain != domain)
                continue;
            group.isLost = false;
            ++group.ownerIncarnation;
            group.owner =
                this->input.makeOwner(this->admissionName, group.servers, group.ownerIncarnation,
                                      absl::InfinitePast(), this->loop.now());
        }
    });
}

void Simulation::setGroupOutOfService(std::size_t group, bool isOutOfService)
{
    Group &target = this->groups[group];
    if (target.isLost)
        return;
    if (isOutOfService)
        this->apply(group, target.owner->stop(RefusalReason::DomainOut, this->loop.now()));
    else
        target.owner->resume();
}

void Simulation::setDomainOutOfService(int domain, bool isOutOfService)
{
    for (std::size_t group = 0; group < this->groups.size(); ++group) {
        if (this->groups[group].domain == domain)
            this->loop.after(kConfigurationSpread * this->random.uniform(),
                             [this, group, isOutOfService]() {
                                 this->setGroupOutOfService(group, isOutOfService);
                             });
    }
    for (Entry &entry : this->entries) {
        this->loop.after(
            kConfigurationSpread * this->random.uniform(), [&entry, domain, isOutOfService]() {
                entry.builder.setDomainOutOfService(domainName(domain), isOutOfService);
                entry.view = entry.builder.build();
            });
    }
}

} // namespace foxtailtally

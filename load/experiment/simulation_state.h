#pragma once

#include "load/experiment/simulation.h"

#include <absl/strings/str_cat.h>

namespace foxtailtally {

inline FailureDomainId domainName(int domain)
{
    return FailureDomainId(absl::StrCat("domain-", domain));
}

/** An entry instance with its own view of the groups. */
struct Simulation::Entry
{
    int domain = 0;
    bool isLost = false;
    /** The load balancer still sends requests to a lost instance until this time. */
    absl::Time balancedUntil = absl::InfiniteFuture();
    RoutingViewBuilder builder;
    std::unique_ptr<const RoutingView> view;

    void updateSummary(const GroupSummary &summary, absl::Time now)
    {
        if (this->isLost)
            return;
        this->builder.setSummary(summary, now);
        this->view = this->builder.build();
    }
};

/** A server group and its owner, which runs in the group's domain. */
struct Simulation::Group
{
    int domain = 0;
    bool isLost = false;
    /** Distinguishes permits of this owner from those of an earlier one. */
    std::uint64_t ownerIncarnation = 1;
    std::vector<BackendServer> servers;
    std::unique_ptr<AdmissionPolicy> owner;
    /** Time of the next scheduled onTick(). */
    absl::Time tickAt = absl::InfiniteFuture();
};

/** State of one request at its entry instance. */
struct Simulation::Flow
{
    RequestProfile profile;
    std::size_t entry = 0;
    RankedGroups ranked;
    std::size_t nextRanked = 0;
    /** Incremented for each reservation; responses to earlier reservations are ignored. */
    int attempt = 0;
    RequestId attemptId;
    std::size_t group = 0;
    bool isWaiting = false;
    /** Zero if the request holds no permit. */
    PermitId permit = 0;
    std::size_t permitGroup = 0;
    std::vector<std::size_t> servers;
    std::int64_t tokensOnOtherEngines = 0;
    bool hasRun = false;
    int retries = 0;
    absl::Time reservedAt;
    absl::Time grantedAt = absl::InfinitePast();
    absl::Time startedAt;
    /** Time from submission to the engine to the first token, of the current attempt. */
    absl::Duration engineTimeToFirstToken;
    absl::Time firstTokenAt = absl::InfiniteFuture();
    RefusalReason lastReason = RefusalReason::NoServer;
    bool isDone = false;
};

} // namespace foxtailtally

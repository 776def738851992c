#pragma once

#include "core/event_loop.h"
#include "peers/platform/platform_client.h"
#include "servers/configuration/roster_plan.h"
#include "servers/shares/roster.h"

#include <absl/functional/function_ref.h>
#include <atomic>
#include <string>
#include <vector>

namespace foxtailtally {

/** Converts a roster document to the form that the share ledger uses. */
Roster toShareRoster(const RosterDocument &document, const FailureDomainId &domain);

/**
 * Writes the roster of this instance's domain when it differs from the platform's list. Runs on the
 * control loop; the conditional update blocks, so it runs on a separate loop.
 */
class RosterWriter
{
public:
    RosterWriter(InstanceId self, Incarnation incarnation, FailureDomainId domain,
                 const PlatformClient &platform);

    void onInstanceList(const std::vector<ListedInstance> &listed, absl::Time now);
    /** Call on the lowest-ranked live instance only. @p hasRelinquished as for nextRoster(). */
    void update(
        const RosterDocument &current,
        absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished,
        absl::Time now, absl::Time wallNow);
    void stop() { this->loop.stop(); }

private:
    void publish(const RosterDocument &next, const Publication &publication);

    InstanceId self;
    Incarnation incarnation;
    FailureDomainId domain;
    const PlatformClient &platform;
    RosterPlan plan;
    std::uint64_t attempts = 0;
    std::atomic<bool> isWriting {false};
    EventLoop loop;
};

} // namespace foxtailtally

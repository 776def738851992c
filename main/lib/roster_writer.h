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

/** The share ledger's form of a roster document. */
Roster toShareRoster(const RosterDocument &document, const FailureDomainId &domain);

/**
 * Writes the roster of the own domain when the platform's list differs from it. Runs on the control
 * loop; the conditional update itself blocks on a loop of its own.
 */
class RosterWriter
{
public:
    RosterWriter(InstanceId self, Incarnation incarnation, FailureDomainId domain,
                 const PlatformClient &platform);

    void onInstanceList(const std::vector<ListedInstance> &listed, absl::Time now);
    /** Call on the lowest-ranked live instance only. @p isPast as for nextRoster(). */
    void update(const RosterDocument &current,
                absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> isPast,
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

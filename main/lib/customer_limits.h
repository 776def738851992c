#pragma once

#include "peers/instance/envelope.h"
#include "peers/instance/messages.h"
#include "servers/configuration/release_note.h"
#include "servers/quota/customer_quota.h"

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>
#include <functional>
#include <pthread.h>
#include <span>
#include <string>

namespace foxtailtally {

/**
 * Burst of a customer's limit in tokens, over all instances: ten seconds of the rate, but at least
 * two of the longest requests for each of @p domains. Instances borrow only within their domain,
 * and a peer that is itself in use lends half of its balance.
 */
double quotaBurst(std::uint64_t tokensPerSecond, std::size_t domains);

/**
 * The customers' rate limits at this instance. tryTake() and refund() may be called by any
 * thread; the other methods belong to the control loop. Messages are sent after the mutex is
 * released.
 */
class CustomerLimits
{
public:
    /** Sends a datagram to another instance. */
    using Send =
        std::function<void(const InstanceId &to, MessageKind kind, const std::string &payload)>;

    CustomerLimits(const RosterMember &self, std::size_t domains, Send send);
    ~CustomerLimits();
    CustomerLimits(const CustomerLimits &) = delete;
    CustomerLimits &operator=(const CustomerLimits &) = delete;

    /** Replaces the limits by those of the release note in force. */
    void setCustomers(std::span<const CustomerEntry> customers, absl::Time now);
    /** As CustomerQuota::setRoster(). */
    void setRoster(const Roster &roster, absl::Time now);
    /** Handles a QuotaRequest or QuotaGrant; other and malformed messages are ignored. */
    void onMessage(const Envelope &message, absl::Time now);
    /** Call every 100 ms; @p hasRelinquished as for nextRoster(). */
    void onTick(
        absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished,
        absl::Time now);
    /**
     * This instance has had a share of the limits, or has waited 15 s for one. Until then nearly
     * every request would be refused. The wait is bounded because rosters do not change while the
     * platform is unavailable; an instance without a share uses borrowed tokens.
     */
    bool isReady(absl::Time now) const;

    /** As CustomerQuota::tryTake(). */
    Refusal tryTake(const CustomerId &customer, std::int64_t tokens, absl::Time now);
    /** Returns the tokens of a request that did not run. */
    void refund(const CustomerId &customer, std::int64_t tokens, absl::Time now);

private:
    void apply(const QuotaActions &actions);

    std::size_t domains;
    Send send;
    std::vector<CustomerId> knownCustomers;
    absl::Time shareWaitDeadline = absl::InfiniteFuture();
    bool hadShare = false;
    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    /** Guarded by the mutex. */
    CustomerQuota quota;
};

} // namespace foxtailtally

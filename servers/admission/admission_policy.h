#pragma once

#include "core/backend_server.h"
#include "core/ids.h"
#include "core/reservation.h"

#include <absl/time/time.h>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace foxtailtally {

/** Request of an entry instance to the owner of a group for a permit to run one request. */
struct ReserveRequest
{
    RequestProfile profile;
    InstanceId from;
    Incarnation fromIncarnation = 0;
};

/** A permit that an entry instance still uses, as listed in its report. */
struct HeldPermit
{
    PermitId permit = 0;
    std::vector<BackendServerId> servers;
    /** Prompt and maximum new tokens of the request, over all its servers. */
    std::int64_t tokens = 0;
    bool isLong = false;
    bool isSuspect = false;
    Fingerprint fingerprint {};
    absl::Time deadline = absl::InfiniteFuture();
};

/** All permits on one group's servers that an entry instance holds; sent every 5 s. */
struct PermitReport
{
    InstanceId from;
    Incarnation fromIncarnation = 0;
    std::vector<HeldPermit> held;
};

/** Capacity of one backend server that the current shares assign to this owner. */
struct UsableUnits
{
    BackendServerId server;
    /** Part of the server's cold limit, in concurrent requests. */
    std::int64_t coldUnits = 0;
    /** Part of the server's memory, in tokens. */
    std::int64_t memoryTokens = 0;
};

/** Reply to a reservation: the request may run. */
struct GrantAction
{
    InstanceId to;
    Grant grant;
};

/** Reply to a reservation: the request may not run. */
struct RefuseAction
{
    InstanceId to;
    RequestId request;
    Refusal refusal;
};

using AdmissionAction = std::variant<GrantAction, RefuseAction>;
using AdmissionActions = std::vector<AdmissionAction>;

class GroupServers;

/**
 * Decides for one server group which requests may run on which backend server, and when. Each
 * reservation gets exactly one reply, from reserve() or from a later call, unless it is withdrawn
 * or its entry instance dies. When limits have expired, the caller must pass the new ones to
 * setLimits() before it makes any other call with the same @p now.
 */
class AdmissionPolicy
{
public:
    AdmissionPolicy() = default;
    AdmissionPolicy(const AdmissionPolicy &) = delete;
    AdmissionPolicy &operator=(const AdmissionPolicy &) = delete;
    virtual ~AdmissionPolicy() = default;

    virtual AdmissionActions reserve(const ReserveRequest &request, absl::Time now) = 0;
    /** Removes a waiting reservation whose caller has disconnected; it gets no reply. */
    virtual AdmissionActions withdraw(const RequestId &request, absl::Time now) = 0;
    /**
     * Ends a permit; unknown permits are ignored. The entry instance releases after the engine has
     * ended the request or confirmed its cancellation.
     */
    virtual AdmissionActions release(const PermitRelease &release, absl::Time now) = 0;
    virtual AdmissionActions onPermitReport(const PermitReport &report, absl::Time now) = 0;

    /** The group's servers as the platform lists them; missing ones are treated as lost. */
    virtual AdmissionActions setServers(std::span<const BackendServer> servers, absl::Time now) = 0;
    /** Servers that are not listed get no capacity. Limits may be lower than the current use. */
    virtual AdmissionActions setLimits(std::span<const UsableUnits> limits, absl::Time now) = 0;
    /** A report of a newer incarnation ends all requests that ran on the older one. */
    virtual AdmissionActions onLoadReport(const LoadReport &report, absl::Time now) = 0;
    /** Grants nothing on the server until a load report taken after @p now arrives. */
    virtual AdmissionActions onServerLost(const BackendServerId &server, absl::Time now) = 0;
    /** Incarnations of @p instance up to and including @p incarnation have ended. */
    virtual AdmissionActions onInstanceDead(const InstanceId &instance, Incarnation incarnation,
                                            absl::Time now) = 0;

    /**
     * @p deaths server deaths with this request are known to the instance's Quarantine. Its running
     * and waiting requests are then treated as suspects, or refused when they are quarantined.
     */
    virtual AdmissionActions onSuspect(const Fingerprint &fingerprint, std::uint32_t deaths,
                                       absl::Time now) = 0;

    /** Refuses all waiting and later reservations with @p reason, as not run. */
    virtual AdmissionActions stop(RefusalReason reason, absl::Time now) = 0;
    /** Accepts reservations again after stop(). */
    virtual void resume() = 0;

    /** Handles time-outs and retries grants; must be called at nextTick() at the latest. */
    virtual AdmissionActions onTick(absl::Time now) = 0;
    /** Time of the next time-out or retry; infinite when there is none. */
    virtual absl::Time nextTick() const = 0;

    virtual GroupSummary summary(absl::Time now) = 0;
    /** The group's servers with their permits. */
    virtual const GroupServers &groupServers() const = 0;
};

} // namespace foxtailtally

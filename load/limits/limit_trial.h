#pragma once

#include "load/limits/limit_fleet.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailtally {

/** A kind of call in a LimitTrial. */
struct LimitTrialKind
{
    /** Share of all calls. */
    double share = 1.0;
    float worth = 1.0F;
    /** Longest time that a call waits for a token. */
    absl::Duration patience = absl::Milliseconds(150);
};

/** What happens to servers and instances during a trial. */
struct LimitTrialEvent
{
    enum class Kind {
        /** All limited servers name another limit. */
        ChangeLimit,
        /** All limited servers stop naming a limit. */
        EndLimit,
        /** The aggregator of domain 0 is killed, and restarted after the duration. */
        KillIssuer,
        /** The aggregator of domain 0 is paused for the duration. */
        PauseIssuer,
        /** No datagram passes to or from the aggregator of domain 0 for the duration. */
        CutIssuer,
        /** Domains 0 and 1 do not hear each other for the duration. */
        CutDomains,
        /** An instance drawn at random is killed, paused or cut off. */
        KillAny,
        PauseAny,
        CutAny,
        /** Datagrams pass one way only between two instances drawn at random. */
        CutOneWay,
    };
    Kind kind = Kind::ChangeLimit;
    absl::Duration at;
    absl::Duration duration = absl::ZeroDuration();
    /** New limit in requests a second. */
    double limit = 0;
};

/** Calls that only servers with a rate limit can take. */
struct LimitTrialSetup
{
    LimitFleetOptions fleet;
    std::size_t limitedServers = 1;
    /** Requests a second that each server accepts. */
    double limit = 2.0;
    /** The servers are cold and name no limit; every instance knows the limit by itself. */
    bool isCold = false;
    double callsPerSecond = 10.0;
    /** All calls come to one instance, in a domain without the first server. */
    bool isDemandAtOneInstance = false;
    std::vector<LimitTrialKind> kinds = {{0.9, 1.3F, absl::Milliseconds(150)},
                                         {0.1, 22.0F, absl::Milliseconds(1500)}};
    absl::Duration length = absl::Seconds(60);
    absl::Duration serviceTime = absl::Milliseconds(50);
    std::vector<LimitTrialEvent> events;
};

struct LimitTrialResult
{
    std::int64_t calls = 0;
    std::int64_t served = 0;
    std::int64_t refused = 0;
    /** Calls by kind, and those of them that were served. */
    std::vector<std::int64_t> callsByKind;
    std::vector<std::int64_t> servedByKind;
    /** Worth of all calls, of those that were served, and of those that a bucket of each server
     * with knowledge of all claims would serve. */
    double totalWorth = 0;
    double servedWorth = 0;
    double centralWorth = 0;
    /** Requests in the fullest window of a server, from kSettleTime after it first named its limit:
     * the number, the limit within that window, and the largest ratio to LimitTrial's bounds. */
    double fullestWindow = 0;
    double limitInFullestWindow = 0;
    /** Largest number of requests over what the users' rule allows; above 1 breaks it. */
    double worstOfRule = 0;
    /** The same over 1.1 times the limit and 2 requests. */
    double worstOfAim = 0;
    /** Requests in one second over what the users' rule for cold servers allows, in a trial of cold
     * servers; above 1 breaks it. */
    double worstOfColdRule = 0;
    /** Share of the limits that was used. */
    double usedShare = 0;
    /** Wait for a token, of served calls. */
    double meanWaitMs = 0;
    double p95WaitMs = 0;
    /** Sent by an instance, on average and at most. */
    double bytesPerSecond = 0;
    double maxBytesPerSecond = 0;
    double messagesPerSecond = 0;
};

/** Runs the limiters of a fleet against servers with rate limits, in virtual time. */
LimitTrialResult runLimitTrial(const LimitTrialSetup &setup, std::uint64_t seed);

} // namespace foxtailtally

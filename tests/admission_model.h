#pragma once

#include "core/random.h"
#include "servers/admission/admission_options.h"
#include "servers/admission/admission_policy.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace foxtailtally {

using PolicyFactory = std::function<std::unique_ptr<AdmissionPolicy>(const AdmissionOptions &)>;

/** Size of the group under test. */
struct AdmissionModelOptions
{
    int servers = 3;
    std::int64_t memoryTokens = 200000;
    std::int64_t coldLimit = 2;
    std::int64_t warmLimit = 16;
    /** Requests of an earlier owner that run when the owner under test takes over. */
    int earlierRequests = 0;
    /** Checks that long prompts leave two thirds of the servers to short ones. */
    bool checksLongPrompts = true;
    /** Time between two load reports of one engine. */
    absl::Duration reportInterval = absl::Seconds(1);
    /** Maximum time until an engine notices that an entry instance has ended. */
    absl::Duration cancelDelay = absl::Seconds(6);
    /** Time between two ticks; if zero, ticks follow AdmissionPolicy::nextTick(). */
    absl::Duration tickInterval = absl::ZeroDuration();
};

/** Course and result of one request. */
struct RequestRecord
{
    ReserveRequest request;
    absl::Time sentAt;
    absl::Time answeredAt = absl::InfiniteFuture();
    std::vector<BackendServerId> servers;
    RefusalReason refused = RefusalReason::None;
    absl::Duration retryAfter;
    bool isGranted = false;
    /** Withdrawn, or its entry instance is known to be dead: no answer may come. */
    bool isForgotten = false;
};

/**
 * Simulates the entry instances, engines and delayed messages around one admission policy in
 * virtual time. Tracks what actually runs on each engine and records the first rule that a grant or
 * reply violates.
 */
class AdmissionModel
{
public:
    AdmissionModel(const PolicyFactory &factory, const AdmissionModelOptions &options,
                   std::uint64_t seed);

    absl::Time now() const { return this->clock; }
    AdmissionPolicy &owner() { return *this->policy; }
    void advance(absl::Duration duration);

    /** Sends a reservation; returns the index of its record. */
    std::size_t reserve(RequestClass requestClass, std::int64_t promptTokens,
                        std::int64_t newTokens, absl::Duration deadline, bool isSuspect = false);
    void withdraw(std::size_t index);
    void cancelOne();
    /** The next grant is lost with its connection. */
    void loseNextGrant() { this->isGrantLost = true; }
    void restartServer(int server, bool isNoticed);
    void killInstance(int instance);
    /** Usable memory of all servers in per cent. */
    void setLimits(int percent);
    void setDraining(int server, bool isLeaving);
    /** Stops the policy and resumes it after one second. */
    void stopForOneSecond();

    /** Applies one random command, which @p word encodes. */
    void apply(std::uint32_t word);
    /** Waits until all requests have ended and checks that none waits and no memory is held. */
    void drain();

    const std::vector<RequestRecord> &records() const { return this->requests; }
    /** The first violated rule, or empty. */
    const std::string &violation() const { return this->firstViolation; }

private:
    struct Run
    {
        std::vector<int> servers;
        std::int64_t part = 0;
        int instance = 0;
        Incarnation incarnation = 0;
        std::int64_t newTokens = 0;
        absl::Time deadline;
        absl::Duration firstToken;
        bool isStarted = false;
        bool isSuspect = false;
        bool isForeign = false;
        bool isLong = false;
    };
    struct Engine
    {
        BackendServer listed;
        Incarnation incarnation = 1;
        std::uint64_t sequence = 0;
        int completions = 0;
        /** According to the newest report that has reached the owner. */
        bool isReportedWarm = false;
        std::pair<Incarnation, std::uint64_t> lastReport;
    };

    bool isWarm(const Engine &engine) const { return engine.completions >= 3; }
    absl::Duration delay(int milliseconds);
    void after(absl::Duration duration, std::function<void()> action);
    /** Messages of one entry instance arrive in order. */
    void send(int instance, std::function<void()> action);
    void handle(const AdmissionActions &actions);
    void onGrant(const Grant &grant);
    void startRun(PermitId permit);
    void endRun(PermitId permit, PermitOutcome outcome);
    void checkServer(int server);
    void checkLongPrompts();
    void fail(const std::string &text);
    void report(int server);
    void reportPermits(int instance);
    void sendServers();

    AdmissionModelOptions options;
    std::unique_ptr<AdmissionPolicy> policy;
    Random random;
    absl::Time clock = absl::FromUnixSeconds(1000);
    std::multimap<absl::Time, std::function<void()>> events;
    std::vector<Engine> engines;
    std::vector<Incarnation> instances {1, 1, 1};
    std::vector<absl::Time> lastArrival {3, absl::InfinitePast()};
    std::map<PermitId, Run> runs;
    std::vector<RequestRecord> requests;
    std::map<std::string, std::size_t> indexOf;
    std::int64_t limit = 0;
    absl::Time readyAt = absl::InfinitePast();
    bool isGrantLost = false;
    bool isStopped = false;
    std::string firstViolation;
};

} // namespace foxtailtally

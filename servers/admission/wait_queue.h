#pragma once

#include "servers/admission/admission_policy.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

namespace foxtailtally {

/**
 * Requests of one class that wait for different resources are kept in different lanes, so that a
 * long prompt at the front of one lane cannot block a short prompt in another.
 */
enum class WaitLane : std::uint8_t {
    Short = 0,
    Suspect = 1,
    Long = 2,
    /** Contexts larger than one server. */
    Spanning = 3,
};

constexpr std::size_t kWaitLaneCount = 4;

/** A reservation without an answer. */
struct WaitingRequest
{
    ReserveRequest request;
    WaitLane lane = WaitLane::Short;
    absl::Time receivedAt;
    /** After this time the deadline cannot be met on an idle server. */
    absl::Time latestStart = absl::InfiniteFuture();
    /** First time the request was at the front of its lane and did not fit. */
    absl::Time blockedSince = absl::InfiniteFuture();
    std::uint64_t order = 0;
};

/**
 * Waiting reservations by class, lane and deadline. Classes share the granted tokens 8:4:1 for
 * urgent, normal and batch requests; a class without waiting requests saves up no credit, nor does
 * one in which only contexts larger than a server wait. Otherwise such a context, which can wait
 * for long, would later let the short requests of its class pass those of the others. Within a lane
 * the earliest deadline is first.
 */
class WaitQueue
{
public:
    explicit WaitQueue(std::size_t maxPerClass)
        : maxPerClass(maxPerClass)
    { }

    /** False when the class is full or a request with the same id waits. */
    bool push(WaitingRequest waiting);
    /** Takes a request out, whether it was granted, refused or withdrawn. */
    std::optional<WaitingRequest> remove(const RequestId &request);
    bool contains(const RequestId &request) const { return this->requests.contains(request); }

    /** Classes with waiting requests, the one with the least weighted service first. */
    std::vector<RequestClass> classOrder() const;
    /** Earliest deadline of a lane, or null. */
    WaitingRequest *front(RequestClass requestClass, WaitLane lane);
    /** Accounts @p tokens as granted to @p requestClass. */
    void charge(RequestClass requestClass, std::int64_t tokens);

    /**
     * Tokens that will be granted before a request of this class, lane and deadline. Contexts
     * larger than one server are ahead of each other only, as all others pass them.
     */
    std::int64_t tokensAhead(RequestClass requestClass, WaitLane lane, absl::Time deadline) const;
    std::int64_t promptTokens() const { return this->waitingPromptTokens; }

    /** Earliest latest-start time of all, or infinite. */
    absl::Time earliestLatestStart() const;
    std::vector<RequestId> unreachable(absl::Time now) const;
    std::vector<RequestId> requestsOf(const InstanceId &instance, Incarnation incarnation) const;
    std::vector<RequestId> all() const;
    /** Sets the latest start of a waiting request from newer measurements. */
    void setLatestStart(const RequestId &request, absl::Time latestStart);
    /** Lets smaller requests pass a blocked one again. */
    void setBlockedSince(const RequestId &request, absl::Time since);
    const WaitingRequest *find(const RequestId &request) const;

    std::size_t size() const { return this->requests.size(); }
    /** Waiting requests of a class that need one server. */
    std::size_t sizeOnOneServer(RequestClass requestClass) const;

private:
    using TimeKey = std::tuple<absl::Time, std::uint64_t, WaitingRequest *>;
    struct ClassQueue
    {
        std::array<absl::btree_set<TimeKey>, kWaitLaneCount> lanes;
        std::size_t size = 0;
        /** Requests outside the spanning lane. */
        std::size_t sizeOnOneServer = 0;
        /** Of the requests that need one server. */
        std::int64_t tokensOnOneServer = 0;
        /** Granted tokens divided by the class's weight. */
        double service = 0;
    };

    ClassQueue &queueOf(RequestClass requestClass);
    const ClassQueue &queueOf(RequestClass requestClass) const;

    std::size_t maxPerClass;
    std::uint64_t nextOrder = 0;
    /** Weighted service of the class that was charged last. */
    double virtualTime = 0;
    std::int64_t waitingPromptTokens = 0;
    absl::flat_hash_map<RequestId, std::unique_ptr<WaitingRequest>> requests;
    std::array<ClassQueue, kRequestClassCount> classes;
    absl::btree_set<TimeKey> byLatestStart;
};

} // namespace foxtailtally

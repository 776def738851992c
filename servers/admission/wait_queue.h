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

/** A reservation that has not been answered yet. */
struct WaitingRequest
{
    ReserveRequest request;
    WaitLane lane = WaitLane::Short;
    absl::Time receivedAt;
    /** After this time the deadline cannot be met on an idle server. */
    absl::Time latestStart = absl::InfiniteFuture();
    /** When the request, at the front of its lane, first did not fit on any server. */
    absl::Time blockedSince = absl::InfiniteFuture();
    std::uint64_t order = 0;
};

/**
 * Waiting reservations by class, lane and deadline. Weighted fair queueing divides the granted
 * tokens 8:4:1 among urgent, normal and batch requests. A class accumulates no credit while it has
 * no waiting requests, or only contexts larger than a server: such a context can wait for a long
 * time, and its credit would then let short requests of its class overtake those of other classes.
 * Within a lane the earliest deadline is first.
 */
class WaitQueue
{
public:
    explicit WaitQueue(std::size_t maxPerClass)
        : maxPerClass(maxPerClass)
    { }

    /** False when the class is full or a request with the same id is already waiting. */
    bool push(WaitingRequest waiting);
    /** Removes and returns a request that was granted, refused or withdrawn. */
    std::optional<WaitingRequest> remove(const RequestId &request);
    bool contains(const RequestId &request) const { return this->requests.contains(request); }

    /** Classes with waiting requests, the one with the least weighted service first. */
    std::vector<RequestClass> classOrder() const;
    /** Request with the earliest deadline of a lane, or null. */
    WaitingRequest *front(RequestClass requestClass, WaitLane lane);
    /** Accounts @p tokens as granted to @p requestClass. */
    void charge(RequestClass requestClass, std::int64_t tokens);

    /**
     * Tokens that will be granted before a request of this class, lane and deadline. Contexts
     * larger than one server delay only each other, because all other requests may bypass them.
     */
    std::int64_t tokensAhead(RequestClass requestClass, WaitLane lane, absl::Time deadline) const;
    std::int64_t promptTokens() const { return this->waitingPromptTokens; }

    /** Earliest WaitingRequest::latestStart of all requests; infinite when the queue is empty. */
    absl::Time earliestLatestStart() const;
    std::vector<RequestId> unreachable(absl::Time now) const;
    std::vector<RequestId> requestsOf(const InstanceId &instance, Incarnation incarnation) const;
    std::vector<RequestId> all() const;
    /** Updates the latest start of a waiting request after new measurements. */
    void setLatestStart(const RequestId &request, absl::Time latestStart);
    /** Restarts the time for which smaller requests may bypass a blocked one. */
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
        /** Tokens of the requests outside the spanning lane. */
        std::int64_t tokensOnOneServer = 0;
        /** Granted tokens divided by the class's weight. */
        double service = 0;
    };

    ClassQueue &queueOf(RequestClass requestClass);
    const ClassQueue &queueOf(RequestClass requestClass) const;

    std::size_t maxPerClass;
    std::uint64_t nextOrder = 0;
    /** Highest weighted service at which a class has been charged; a class starts from here. */
    double virtualTime = 0;
    std::int64_t waitingPromptTokens = 0;
    absl::flat_hash_map<RequestId, std::unique_ptr<WaitingRequest>> requests;
    std::array<ClassQueue, kRequestClassCount> classes;
    absl::btree_set<TimeKey> byLatestStart;
};

} // namespace foxtailtally

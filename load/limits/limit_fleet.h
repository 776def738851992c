#pragma once

#include "core/random.h"
#include "servers/fleet/fleet_view.h"
#include "servers/limits/rate_limiter.h"
#include "servers/limits/share_lending.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace foxtailtally {

struct LimitFleetOptions
{
    std::size_t instances = 6;
    std::size_t domains = 3;
    /** Instances of each domain that the store lists. */
    std::size_t listedPerDomain = 3;
    absl::Duration delayWithinDomain = absl::Microseconds(200);
    absl::Duration delayBetweenDomains = absl::Milliseconds(1);
    /** Random time that an instance takes until it handles a datagram, at most. */
    absl::Duration maxHandlingTime = absl::Milliseconds(2);
    /** Share of the datagrams that are lost, and that arrive twice. */
    double lossRate = 0;
    double duplicateRate = 0;
    std::uint64_t seed = 1;
};

/** Messages of the limiters only; those that keep up the topology are not counted. */
struct LimitTraffic
{
    std::int64_t messages = 0;
    std::int64_t bytes = 0;
};

/** Notified of events in a LimitFleet. */
class LimitFleetEvents
{
public:
    virtual ~LimitFleetEvents() = default;
    virtual void onClaimEnded(std::size_t node, const ClaimOutcome &outcome) = 0;
    /** A task of LimitFleet::schedule() is due. */
    virtual void onTask(std::int64_t task) = 0;
};

/**
 * Instances with their FleetView, ShareLending and RateLimiter in virtual time, on a network and
 * with process pauses that the caller controls. Their messages are encoded as on the wire.
 */
class LimitFleet
{
public:
    /** @p serverDomains: failure domain of each server. */
    LimitFleet(const LimitFleetOptions &options, std::vector<std::size_t> serverDomains,
               LimitFleetEvents &events);
    ~LimitFleet();
    LimitFleet(const LimitFleet &) = delete;
    LimitFleet &operator=(const LimitFleet &) = delete;

    absl::Time now() const { return this->time; }
    std::size_t size() const { return this->nodes.size(); }
    std::size_t domainOf(std::size_t node) const { return node % this->options.domains; }
    std::size_t domainOfServer(ServerKey server) const
    {
        return this->serverDomains[static_cast<std::size_t>(server)];
    }
    RateLimiter &limiter(std::size_t node);
    bool isActive(std::size_t node) const;
    /** The instance that the running ones of the domain follow; nullopt if none aggregates. */
    std::optional<std::size_t> aggregatorOf(std::size_t domain) const;
    const LimitTraffic &traffic(std::size_t node) const;

    /** A paused process handles nothing; datagrams wait for it. */
    void setPaused(std::size_t node, bool isPaused);
    void kill(std::size_t node);
    /** Starts a killed process again, without any state. */
    void restart(std::size_t node);
    /** @p passes: whether datagrams from one instance reach another one. */
    void setLinks(std::function<bool(std::size_t, std::size_t)> passes);

    /** Sends what a call of limiter() has caused. */
    void flush(std::size_t node);
    void schedule(absl::Time at, std::int64_t task);
    void runUntil(absl::Time end);

private:
    struct Heartbeat
    {
        bool isReport = false;
        absl::Time stamp;
        std::uint64_t incarnation = 0;
        absl::Time echo = absl::InfinitePast();
        std::uint64_t echoIncarnation = 0;
        bool lendsShare = false;
        std::size_t domainInstances = 0;
    };
    struct Datagram
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<Heartbeat, std::string> content;
    };
    struct Node;
    class Topology;
    enum class Kind { Tick, Work, Datagram, Task };
    struct Event
    {
        absl::Time at;
        std::uint64_t order = 0;
        Kind kind = Kind::Tick;
        /** Node, datagram or task. */
        std::int64_t target = 0;
        std::uint64_t incarnation = 0;

        bool operator>(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    void push(absl::Time at, Kind kind, std::int64_t target, std::uint64_t incarnation = 0);
    void startProcess(std::size_t index);
    void handle(const Event &event);
    void tick(std::size_t index);
    void work(std::size_t index);
    void sendHeartbeats(std::size_t index);
    void sendHeartbeat(std::size_t from, std::size_t to, bool isReport, bool lendsShare);
    void transmit(const Datagram &datagram);
    void receive(const Datagram &datagram);
    void receiveHeartbeat(const Datagram &datagram, const Heartbeat &heartbeat);
    void scheduleWork(std::size_t index);
    std::size_t indexOf(const std::string &name) const;

    LimitFleetOptions options;
    std::vector<std::size_t> serverDomains;
    LimitFleetEvents &events;
    Random random;
    absl::Time time = absl::UnixEpoch() + absl::Hours(1);
    std::vector<std::unique_ptr<Node>> nodes;
    std::function<bool(std::size_t, std::size_t)> passes;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> queue;
    std::uint64_t order = 0;
    std::vector<Datagram> datagrams;
    std::vector<std::size_t> freeDatagrams;
};

} // namespace foxtailtally

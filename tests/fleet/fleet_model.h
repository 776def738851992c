#pragma once

#include "servers/catalog/store_source.h"
#include "servers/fleet/fleet_view.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** Behavior of the store towards one instance. */
enum class StoreAnswer { Serve, Refuse, Silent };

/**
 * Simulates a fleet in virtual time: FleetView and StoreSource with a network, a store and process
 * pauses that the test controls. One kind of object is modelled; the test changes it with change().
 */
class FleetModel
{
public:
    static constexpr absl::Duration kStep = absl::Milliseconds(10);

    struct Options
    {
        std::size_t domains = 3;
        std::size_t perDomain = 2;
        /** Instances of each domain that have a high capacity and are listed by the store. */
        std::size_t listedPerDomain = 2;
    };

    explicit FleetModel(const Options &options);

    std::size_t size() const { return this->nodes.size(); }
    absl::Time now() const { return this->time; }
    std::size_t domainOf(std::size_t node) const { return node % this->options.domains; }

    /** The object changes and the store acknowledges it. */
    void change();
    void setStore(std::size_t node, StoreAnswer answer) { this->nodes[node].store = answer; }
    void setStoreForAll(StoreAnswer answer);
    /** @p passes: whether datagrams and fetches from one instance to another get through. */
    void setLinks(std::function<bool(std::size_t, std::size_t)> passes);
    /** Suspends the process; messages sent to it are queued. */
    void setPaused(std::size_t node, bool isPaused) { this->nodes[node].isPaused = isPaused; }
    /** Replaces the process by a new one without any state. */
    void restart(std::size_t node);
    void kill(std::size_t node) { this->nodes[node].isRunning = false; }

    void run(absl::Duration length);

    /** Time since the oldest change that @p node lacks; zero when it has all changes. */
    absl::Duration lag(std::size_t node) const;
    /** Instances that count a revision as confirmed at a time when it was not the newest. */
    std::vector<std::size_t> wronglyConfirmed() const;
    absl::Time confirmedAt(std::size_t node) const;
    std::size_t storeCalls() const { return this->calls; }
    /** Running instances that follow no other in their own domain. */
    std::size_t aggregators() const;
    std::size_t datagrams() const { return this->sent; }

private:
    enum class Call { None, Fetch, Watch };

    struct Message
    {
        std::size_t from = 0;
        bool isBundle = false;
        absl::Time stamp;
        absl::Time echo;
        bool hasLostStore = false;
        KindStates states;
        /** Times since the confirmation, as the clocks of instances differ. */
        std::array<absl::Duration, kStoreKinds> ages;
        std::uint64_t incarnation = 0;
        std::uint64_t echoIncarnation = 0;
    };
    struct Node
    {
        InstanceRecord record;
        std::unique_ptr<FleetView> view;
        std::unique_ptr<StoreSource> source;
        StoreAnswer store = StoreAnswer::Serve;
        bool isRunning = true;
        bool isPaused = false;
        std::uint64_t incarnation = 0;
        KindState held;
        absl::Time reportedAt = absl::InfinitePast();
        absl::Time announcedAt = absl::InfinitePast();
        absl::Time tickedAt = absl::InfinitePast();
        std::deque<Message> inbox;
        Call call = Call::None;
        std::size_t callTarget = 0;
        absl::Time callSentAt;
        absl::Time callEndsAt;
        absl::Duration watch = absl::ZeroDuration();
        bool callFails = false;
        struct LastMessage
        {
            absl::Time stamp;
            std::uint64_t incarnation = 0;
        };
        absl::flat_hash_map<std::size_t, LastMessage> lastMessages;
    };

    void startProcess(std::size_t index);
    void step(std::size_t index);
    void receive(std::size_t index, const Message &message);
    void send(std::size_t from, std::size_t to, bool isBundle);
    void finishCall(std::size_t index);
    void startCall(std::size_t index);
    std::size_t indexOf(const std::string &name) const;
    std::int64_t revisionAt(absl::Time moment) const;
    void adopt(Node &node, const KindState &state);

    Options options;
    absl::Time time = absl::UnixEpoch() + absl::Hours(1);
    std::vector<Node> nodes;
    std::function<bool(std::size_t, std::size_t)> passes;
    /** When the store acknowledged each revision; the first one exists from the start. */
    std::vector<absl::Time> revisions;
    std::size_t calls = 0;
    std::size_t sent = 0;
};

} // namespace foxtailtally

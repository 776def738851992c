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

/** What the store does with the calls of one instance. */
enum class StoreAnswer { Serve, Refuse, Silent };

/**
 * A fleet in virtual time: the decisions of FleetView and StoreSource with a network, a store and
 * pauses that a test sets. One kind of object changes when the test says so.
 */
class FleetModel
{
public:
    static constexpr absl::Duration kStep = absl::Milliseconds(10);

    struct Options
    {
        std::size_t domains = 3;
        std::size_t perDomain = 2;
        /** Instances of each domain that the store lists and that are strong. */
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
    /** Datagrams and fetches from one instance to another pass while this says so. */
    void setLinks(std::function<bool(std::size_t, std::size_t)> passes);
    /** The process stands still; what is sent to it waits. */
    void setPaused(std::size_t node, bool isPaused) { this->nodes[node].isPaused = isPaused; }
    /** The process is replaced by a new one that knows nothing. */
    void restart(std::size_t node);
    void kill(std::size_t node) { this->nodes[node].isRunning = false; }

    void run(absl::Duration length);

    /** Time since the oldest change that @p node does not know; zero when it knows all. */
    absl::Duration lag(std::size_t node) const;
    /** Instances that hold for confirmed what was not the newest. */
    std::vector<std::size_t> wronglyConfirmed() const;
    absl::Time confirmedAt(std::size_t node) const;
    std::size_t storeCalls() const { return this->calls; }
    /** Instances that follow nobody in their own domain. */
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
        /** Ages instead of moments. */
        std::array<absl::Duration, kStoreKinds> ages;
        std::uint64_t life = 0;
        std::uint64_t echoLife = 0;
    };
    struct Node
    {
        InstanceRecord record;
        std::unique_ptr<FleetView> view;
        std::unique_ptr<StoreSource> source;
        StoreAnswer store = StoreAnswer::Serve;
        bool isRunning = true;
        bool isPaused = false;
        std::uint64_t life = 0;
        KindState held;
        absl::Time reportedAt = absl::InfinitePast();
        absl::Time toldAt = absl::InfinitePast();
        absl::Time lookedAt = absl::InfinitePast();
        std::deque<Message> inbox;
        Call call = Call::None;
        std::size_t callTarget = 0;
        absl::Time callSentAt;
        absl::Time callEndsAt;
        absl::Duration watch = absl::ZeroDuration();
        bool callFails = false;
        struct Heard
        {
            absl::Time stamp;
            std::uint64_t life = 0;
        };
        absl::flat_hash_map<std::size_t, Heard> heard;
    };

    void boot(std::size_t index);
    void step(std::size_t index);
    void receive(std::size_t index, const Message &message);
    void send(std::size_t from, std::size_t to, bool isBundle);
    void finishCall(std::size_t index);
    void proceed(std::size_t index);
    std::size_t indexOf(const std::string &name) const;
    std::int64_t revisionAt(absl::Time moment) const;
    void adopt(Node &node, const KindState &state);

    Options options;
    absl::Time time = absl::UnixEpoch() + absl::Hours(1);
    std::vector<Node> nodes;
    std::function<bool(std::size_t, std::size_t)> passes;
    /** When each revision was acknowledged; the first one is there from the start. */
    std::vector<absl::Time> revisions;
    std::size_t calls = 0;
    std::size_t sent = 0;
};

} // namespace foxtailtally

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
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/** Behavior of the store towards one instance. */
enum class StoreAnswer { Serve, Refuse, Silent };

/**
 * Simulates a fleet in virtual time: FleetView and StoreSource with a network, a store and process
 * pauses that the test controls. One object is modelled, which carries a version; the test changes
 * it with change(). The store may be restored from a copy of an earlier state.
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

    /** The operator writes the next version of the object and the store acknowledges it. */
    void change();
    /** The operator writes the newest version again if the store has lost it. */
    void rewrite();
    /** Number of revisions in the store, for restore(). */
    std::size_t copy() const { return this->history.size(); }
    /** The store returns with the revisions of @p copy in a new era. @p breaksCalls: calls in
     * flight fail; otherwise the restored store answers them. */
    void restore(std::size_t copy, bool breaksCalls);
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

    /** Time since the oldest change in the store that @p node lacks; zero when it has all. */
    absl::Duration lag(std::size_t node) const;
    /** Instances that count a version as confirmed at a time when the store held a newer one. */
    std::vector<std::size_t> wronglyConfirmed() const;
    /** Version of the object that @p node holds; 0 before it has read it. */
    std::int64_t version(std::size_t node) const { return this->nodes[node].held.version; }
    std::int64_t newestVersion() const { return this->newest; }
    bool isRunning(std::size_t node) const { return this->nodes[node].isRunning; }
    bool isPaused(std::size_t node) const { return this->nodes[node].isPaused; }
    /** Instances that know the present era of the store. */
    std::size_t instancesInEra() const;
    absl::Time confirmedAt(std::size_t node) const;
    std::size_t storeCalls() const { return this->calls; }
    /** Running instances that follow no other in their own domain. */
    std::size_t aggregators() const;
    std::size_t datagrams() const { return this->sent; }

private:
    enum class Call { None, Fetch, Watch, List };

    /** A revision of the store. */
    struct Revision
    {
        std::int64_t version = 0;
        absl::Time acknowledgedAt;
    };
    /** What the store, or another instance, answers a call. */
    struct Answer
    {
        bool hasFailed = false;
        /** The revision to watch from is not known. */
        bool isGone = false;
        StorePosition position;
        StorePosition content;
        std::int64_t version = 0;
        /** A relay has known this to be the newest state at this time. */
        absl::Time confirmedAt = absl::InfiniteFuture();
        /** The watch ended without a change. */
        bool waitedFully = false;
    };

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
        /** The store, or a relay, showed the held version when it was last read. */
        bool isShown = false;
        bool mustList = true;
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
        bool listsFetched = false;
        /** Set when the answer arrives, also if the process is paused then. */
        std::optional<Answer> answer;
        absl::Time idleUntil = absl::InfinitePast();
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
    Answer answerOfStore(const Node &node) const;
    Answer answerOfRelay(const Node &node) const;
    void arriveAnswer(Node &node);
    void finishCall(std::size_t index);
    void onObject(Node &node, const Answer &answer);
    void startCall(std::size_t index);
    /** Ends a call that the state known from others has made useless. */
    void cancelCall(Node &node);
    bool isOutdated(const Node &node) const;
    /** Confirms what @p node holds at @p moment, unless another instance holds a newer version. */
    void confirm(Node &node, absl::Time moment);
    std::size_t indexOf(const std::string &name) const;
    std::int64_t newestRevision() const;
    /** Oldest version that the store has shown since @p moment. Confirmations may be dated early,
     * so after a restore one may lie in the lost history. */
    std::int64_t oldestVersionSince(absl::Time moment) const;
    /** Answers pending watches that the last revision concerns. */
    void notifyWatches();

    Options options;
    absl::Time time = absl::UnixEpoch() + absl::Hours(1);
    std::vector<Node> nodes;
    std::function<bool(std::size_t, std::size_t)> passes;
    std::int64_t era = 0;
    /** The store's revisions; the first one exists from the start. */
    std::vector<Revision> history;
    /** What the store has shown since when, over all eras. */
    std::vector<Revision> shown;
    std::int64_t newest = 1;
    std::size_t calls = 0;
    std::size_t sent = 0;
};

} // namespace foxtailtally

#pragma once

#include "core/random.h"
#include "servers/shares/share_ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace foxtailtally {

/** Deliberate departures from the protocol, to show that the check finds them. */
struct ShareModelFault
{
    ShareTiming timing;
    /** Borrowers count the term from the receipt of the offer. */
    bool countsFromReceipt = false;
    /** Rosters do not list earlier versions. */
    bool omitsUnsettledRosters = false;
    /** Load reports appear to be taken when they are received. */
    bool ignoresReportAge = false;
};

/** One disturbance of a run. Fields are reduced to valid ranges by the model. */
struct ShareModelEvent
{
    std::uint8_t kind = 0;
    std::uint8_t node = 0;
    std::uint8_t peer = 0;
    std::uint16_t atMs = 0;
    std::uint16_t lengthMs = 0;
};

/**
 * Several real ShareLedgers, the servers whose limits they share, and a network that delays, loses,
 * duplicates and reorders datagrams, in virtual time.
 */
class ShareModel
{
public:
    ShareModel(std::uint64_t seed, ShareModelFault fault);

    /** Runs @p events for one minute, then ends all faults; returns the first violation. */
    std::string run(const std::vector<ShareModelEvent> &events);
    /** Stops one owner in a fleet without faults; time until another node has the full limit. */
    absl::Duration plannedStop();
    std::uint64_t permitsStarted() const { return this->started; }

private:
    struct Server
    {
        BackendServerId id;
        GroupId group;
        std::int64_t limit = 1;
        /** Owner process and start time of each running permit. */
        std::map<std::uint64_t, std::pair<RosterMember, absl::Time>> running;
    };

    struct Node
    {
        RosterMember member;
        std::unique_ptr<ShareLedger> ledger;
        double rate = 1;
        absl::Duration offset;
        absl::Time pausedUntil;
        absl::Time bootedAt;
        bool isLeaving = false;
        std::map<BackendServerId, std::int64_t> granted;
    };

    using Step = std::function<void()>;

    void at(absl::Time when, Step step);
    /** Runs @p step on node @p index once it is not paused. */
    void onNode(std::size_t index, absl::Time when, std::function<void(Node &)> step);
    void advance(absl::Time until);
    absl::Time clockOf(const Node &node) const;
    absl::Duration randomDelay(std::int64_t ms);
    void startNode(std::size_t index);
    void crash(std::size_t index);
    void executeActions(std::size_t index, ShareActions actions);
    void send(std::size_t from, const InstanceId &to, const ShareAction &action);
    void tick(std::size_t index);
    /** Checks that no two processes may use one unit, even while no permit occupies it. */
    void checkRights();
    void report(std::size_t server);
    void sendInstanceLists();
    void requestPermits();
    void grant(Node &owner, std::size_t entry, Server &server, absl::Time sentAt,
               Incarnation entryIncarnation);
    void release(const RosterMember &owner, const BackendServerId &server);
    void startPermit(const RosterMember &owner, Server &server);
    void writeRoster(bool all);
    void deliverRoster(std::size_t index, absl::Duration delay);
    void apply(const ShareModelEvent &event);
    /** Blocks the links between nodes whose bits in @p mask differ. */
    void partition(std::uint8_t mask, absl::Duration length);
    void endFaults();
    void restoreMembership();
    std::string checkFullUse();

    Random random;
    ShareModelFault fault;
    absl::Time time;
    std::multimap<absl::Time, Step> steps;
    std::vector<Node> nodes;
    std::vector<Server> servers;
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks;
    Roster roster;
    bool isCalm = false;
    bool isRequestingPermits = true;
    std::uint64_t permits = 0;
    std::uint64_t started = 0;
    std::string violation;
};

} // namespace foxtailtally

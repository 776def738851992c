#pragma once

#include "core/ids.h"
#include "servers/catalog/server_backpressure.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/** Stable number that stands for one life of a backend server in messages between instances. Two
 * servers of a fleet of 600 share one with a chance of 1 in 24,000; they would be taken for equally
 * loaded, and for one in what a server asks for. */
ServerKey serverKey(const BackendServerId &id, Incarnation incarnation);

/** What the platform's list says of one backend server. */
struct ServerEntry
{
    BackendServerId id;
    /** Differs between two lives of a server that keeps its id. */
    Incarnation incarnation = 0;
    std::string service;
    std::string address;
    FailureDomainId domain;
    std::int64_t slots = 1;
    bool leaving = false;
    /** Time for which the server stays cold, counted from when the entry was written. */
    absl::Duration coldLeft = absl::ZeroDuration();
};

/**
 * Backend servers that may get work. An entry that the platform removes names no server from then
 * on, unless it lapsed while the store was unavailable: such an entry stays usable for
 * kLapseGrace after the store's return, because servers that are alive register again within that
 * time.
 */
class ServerDirectory
{
public:
    /** Servers are back in the list about two seconds after the store; below the drain bound. */
    static constexpr absl::Duration kLapseGrace = absl::Milliseconds(1800);

    struct Server
    {
        ServerEntry entry;
        /** serverKey() of the entry. */
        ServerKey key = 0;
        absl::Time coldUntil;
        /** InfiniteFuture while the platform lists the server. */
        absl::Time usableUntil = absl::InfiniteFuture();
    };

    /** Adds or replaces an entry. */
    void onEntry(const ServerEntry &entry, absl::Time now);
    /** The platform removed the entry. @p storeUnsettled: the store was unavailable lately. */
    void onRemoved(const BackendServerId &id, bool storeUnsettled, absl::Time now);
    /** The complete list; entries that it lacks are removed. */
    void onList(const std::vector<ServerEntry> &entries, bool storeUnsettled, absl::Time now);
    /** The server said that it is cold for @p left from @p now. */
    void onCold(const BackendServerId &id, absl::Duration left, absl::Time now);
    /** Forgets lapsed entries whose grace is over. */
    void onTick(absl::Time now);

    /** What servers have asked of this instance; those that ask for no work are not usable. */
    ServerBackpressure &backpressure() { return this->asked; }
    const ServerBackpressure &backpressure() const { return this->asked; }
    /** When the first server of @p service ends its pause. Nothing when one may get work now, or
     * when there is none. */
    std::optional<absl::Time> pausedUntil(const std::string &service, absl::Time now) const;

    void setEvacuated(const FailureDomainId &domain, bool isEvacuated);
    void replaceEvacuated(absl::btree_set<FailureDomainId> domains);

    /** Servers of @p service that may get new work, in the order of their ids. */
    std::vector<const Server *> usable(const std::string &service, absl::Time now) const;
    bool mayGetWork(const Server &server, absl::Time now) const;
    bool isUsable(const BackendServerId &id, Incarnation incarnation, absl::Time now) const;
    const Server *find(const BackendServerId &id) const;
    /** The server with the number that instances use among themselves; null when there is none. */
    const Server *findByKey(ServerKey key) const;
    const Server *findByAddress(const std::string &address) const;
    std::size_t size() const { return this->servers.size(); }

private:
    /** Listed, not leaving, and not in a domain that is out; it may have asked for a pause. */
    bool isInService(const Server &server, absl::Time now) const;

    absl::btree_map<BackendServerId, Server> servers;
    absl::btree_set<FailureDomainId> evacuated;
    ServerBackpressure asked;
};

} // namespace foxtailtally

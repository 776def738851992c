#pragma once

#include "core/ids.h"
#include "servers/catalog/departed_servers.h"
#include "servers/catalog/evacuation_table.h"
#include "servers/catalog/server_backpressure.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/** Hash that identifies one incarnation of a backend server in messages between instances. In a
 * fleet of 600 servers two have the same key with a probability of 1 in 24,000; they would be
 * treated as equally loaded, and as one server in ServerBackpressure. */
ServerKey serverKey(const BackendServerId &id, Incarnation incarnation);

/** One backend server in the platform's list. */
struct ServerEntry
{
    BackendServerId id;
    /** Changes when the server restarts with the same id. */
    Incarnation incarnation = 0;
    /** Rises with the writes of one incarnation. */
    std::int64_t sequence = 0;
    std::string service;
    std::string address;
    FailureDomainId domain;
    std::int64_t slots = 1;
    bool leaving = false;
    /** Time for which the server stays cold, counted from when the entry was written. */
    absl::Duration coldLeft = absl::ZeroDuration();
};

/**
 * Backend servers that may get work. A server is dropped when the platform removes its entry,
 * unless the entry expired while the store was unavailable: such an entry stays usable for
 * lapseGrace() after the store is available again, because live servers register again within that
 * time.
 *
 * A store that was restored from an older copy lists servers as they were. Entries are then ordered
 * by incarnation and sequence: one that was known to be draining or gone stays so in that
 * incarnation, an older incarnation does not replace a newer one, and a server that the copy lacks
 * has lapsed.
 */
class ServerDirectory
{
public:
    static constexpr absl::Duration kDefaultDrainBound = absl::Seconds(2);
    /** Servers are back in the list about two seconds after the store has recovered. */
    static constexpr absl::Duration kMaxLapseGrace = absl::Seconds(2);
    /** Part of the drain bound that passes between a removal in the store and its notice here, and
     * between a decision for a server and the arrival of the request there. */
    static constexpr absl::Duration kNoticeTime = absl::Milliseconds(200);
    /** Time after a restore for which a server gets no work that was removed before it without
     * having drained. The store removes it again after three heartbeat intervals of silence, within
     * 3.6 s; one that is listed for longer is alive. */
    static constexpr absl::Duration kRemovedGrace = absl::Seconds(6);

    struct Server
    {
        ServerEntry entry;
        /** serverKey() of the entry. */
        ServerKey key = 0;
        absl::Time coldUntil;
        /** InfiniteFuture while the platform lists the server. */
        absl::Time usableUntil = absl::InfiniteFuture();
        /** The restored list brought the server back, which had been removed before. */
        absl::Time usableFrom = absl::InfinitePast();
        /** The server was listed before the store was restored. */
        bool predatesRestore = false;
    };

    /** @p drainBound: time for which a server serves requests after its entry was removed. */
    explicit ServerDirectory(absl::Duration drainBound = kDefaultDrainBound);

    /** Time for which the server of an expired entry is used. The removal may be the departure of
     * the server, so this is shorter than the drain bound. */
    absl::Duration lapseGrace() const { return this->grace; }
    /** Adds or replaces an entry. */
    void onEntry(const ServerEntry &entry, absl::Time now);
    /** The platform removed the entry. @p storeUnsettled: the store was unavailable recently. */
    void onRemoved(const BackendServerId &id, bool storeUnsettled, absl::Time now);
    /** Replaces the list; entries that are not in @p entries are removed. */
    void onList(const std::vector<ServerEntry> &entries, bool storeUnsettled, absl::Time now);
    /** The store came back from an older copy; its list follows. */
    void onRestored(absl::Time now);
    /** InfinitePast before the first restore. */
    absl::Time lastRestoredAt() const { return this->restoredAt; }
    /** Servers that the restored list has as ready, and that get no work. */
    std::size_t heldAgainstStore(absl::Time now) const;
    /** The server reported that it stays cold for @p left. */
    void onCold(const BackendServerId &id, absl::Duration left, absl::Time now);
    /** Servers that are cold. */
    std::vector<const Server *> cold(absl::Time now) const;
    /** Drops expired entries after lapseGrace(). */
    void onTick(absl::Time now);

    /** Draining and pauses reported by servers; such servers are not usable. */
    ServerBackpressure &backpressure() { return this->serverBackpressure; }
    const ServerBackpressure &backpressure() const { return this->serverBackpressure; }
    /** When the first pause of the servers of @p service ends; nullopt when a server may get work
     * now or when there is no server. */
    std::optional<absl::Time> pausedUntil(const std::string &service, absl::Time now) const;

    /** Servers of @p service are listed, and all of them drain. */
    bool areAllDraining(const std::string &service) const;

    /** Servers of evacuated domains are not usable. */
    EvacuationTable &evacuations() { return this->evacuationTable; }
    const EvacuationTable &evacuations() const { return this->evacuationTable; }

    /** Servers of @p service that may get new work, in the order of their ids. */
    std::vector<const Server *> usable(const std::string &service, absl::Time now) const;
    bool mayGetWork(const Server &server, absl::Time now) const;
    bool isUsable(const BackendServerId &id, Incarnation incarnation, absl::Time now) const;
    const Server *find(const BackendServerId &id) const;
    /** The server with the key; null when there is none. */
    const Server *findByKey(ServerKey key) const;
    const Server *findByAddress(const std::string &address) const;
    std::size_t size() const { return this->servers.size(); }
    /** All servers, in the order of their ids. */
    std::vector<const Server *> all() const;
    /** The server has reported that it drains, or its entry says so. */
    bool isDraining(const Server &server) const;

private:
    /** What of an entry counts, given what was known before a restore; nullopt for an entry of an
     * older incarnation than the known one. */
    std::optional<ServerEntry> orderedEntry(const ServerEntry &entry) const;
    void drop(absl::btree_map<BackendServerId, Server>::iterator server,
              DepartedServers::Cause cause, absl::Time now);
    /** Listed, not draining, and not in an evacuated domain; it may have asked for a
     * pause. */
    bool isInService(const Server &server, absl::Time now) const;

    absl::Duration grace;
    absl::btree_map<BackendServerId, Server> servers;
    absl::flat_hash_map<ServerKey, BackendServerId> idsByKey;
    DepartedServers departed;
    EvacuationTable evacuationTable;
    absl::Time restoredAt = absl::InfinitePast();
    /** The next list is the first one after a restore. */
    bool isRestoredListDue = false;
    ServerBackpressure serverBackpressure;
};

} // namespace foxtailtally

#pragma once

#include "core/ids.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstdint>

namespace foxtailtally {

/** Backend servers that the list no longer has, so that a store that is restored from an older copy
 * does not bring them back. */
class DepartedServers
{
public:
    /** Time for which a server is remembered. Copies are some seconds old, the store is away for
     * some seconds more, and it drops a server that is silent within six seconds. */
    static constexpr absl::Duration kRetention = absl::Minutes(1);

    enum class Cause : std::uint8_t {
        /** It reported that it was draining. */
        Drained,
        Removed,
        /** Its entry was missing in a list after a failure of the store, for longer than a live
         * server needs to register again. */
        Lapsed,
    };
    struct Departure
    {
        Incarnation incarnation = 0;
        /** ServerEntry::sequence of its last entry. */
        std::int64_t sequence = 0;
        Cause cause = Cause::Removed;
        absl::Time at;
    };

    void add(const BackendServerId &id, const Departure &departure)
    {
        this->servers[id] = departure;
    }
    void remove(const BackendServerId &id) { this->servers.erase(id); }
    /** Null if the server is listed or not remembered. */
    const Departure *find(const BackendServerId &id) const
    {
        const auto found = this->servers.find(id);
        return found == this->servers.end() ? nullptr : &found->second;
    }
    void onTick(absl::Time now)
    {
        absl::erase_if(this->servers,
                       [now](const auto &item) { return item.second.at + kRetention <= now; });
    }
    std::size_t size() const { return this->servers.size(); }

private:
    absl::btree_map<BackendServerId, Departure> servers;
};

} // namespace foxtailtally

#include "servers/placement/load_table.h"

namespace foxtailtally {

void LoadTable::update(std::span<const ServerLoadEntry> received, absl::Time now)
{
    for (const ServerLoadEntry &entry : received) {
        if (entry.load.isIdle())
            this->entries.erase(entry.server);
        else
            this->entries[entry.server] = {entry.load, now};
    }
}

void LoadTable::onTick(absl::Time now)
{
    absl::erase_if(this->entries, [now](const auto &item) {
        return now - item.second.receivedAt > kEntryLifetime;
    });
}

void LoadTable::addTo(ServerLoads &loads, absl::Time now) const
{
    for (const auto &[server, entry] : this->entries) {
        ServerLoad &load = loads[server];
        load.merge(entry.load);
        if (now - entry.receivedAt < ServerLoad::kArrivalWindow)
            continue;
        load.arrivals -= entry.load.arrivals;
        load.shortArrivals -= entry.load.shortArrivals;
    }
}

} // namespace foxtailtally

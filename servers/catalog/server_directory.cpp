#include "servers/catalog/server_directory.h"

#include "core/hash.h"

#include <algorithm>

namespace foxtailtally {

ServerKey serverKey(const BackendServerId &id, Incarnation incarnation)
{
    return static_cast<ServerKey>(stableHash(id.str(), incarnation));
}

ServerDirectory::ServerDirectory(absl::Duration drainBound)
    : grace(std::clamp(drainBound - kNoticeTime, absl::ZeroDuration(), kMaxLapseGrace))
{ }

std::optional<ServerEntry> ServerDirectory::orderedEntry(const ServerEntry &entry) const
{
    // An entry without the time of the server's start cannot be ordered.
    if (entry.incarnation == 0)
        return entry;
    const auto found = this->servers.find(entry.id);
    if (found != this->servers.end()) {
        const Server &known = found->second;
        if (!known.predatesRestore || entry.incarnation > known.entry.incarnation)
            return entry;
        if (entry.incarnation < known.entry.incarnation)
            return std::nullopt;
        ServerEntry ordered = entry.sequence < known.entry.sequence ? known.entry : entry;
        ordered.leaving = entry.leaving || known.entry.leaving;
        return ordered;
    }
    const DepartedServers::Departure *departure = this->departed.find(entry.id);
    if (!departure || this->restoredAt == absl::InfinitePast()
        || entry.incarnation > departure->incarnation)
        return entry;
    if (entry.incarnation < departure->incarnation)
        return std::nullopt;
    if (departure->at > this->restoredAt)
        return entry;
    ServerEntry ordered = entry;
    ordered.sequence = std::max(entry.sequence, departure->sequence);
    ordered.leaving = entry.leaving || departure->cause == DepartedServers::Cause::Drained;
    return ordered;
}

void ServerDirectory::onEntry(const ServerEntry &received, absl::Time now)
{
    const std::optional<ServerEntry> entry = this->orderedEntry(received);
    if (!entry)
        return;
    const DepartedServers::Departure *departure = this->departed.find(entry->id);
    const bool isBroughtBack = departure && departure->at <= this->restoredAt
        && departure->incarnation == entry->incarnation;
    const auto [found, isNew] = this->servers.try_emplace(entry->id);
    Server &server = found->second;
    const bool isSameIncarnation = server.entry.incarnation == entry->incarnation;
    const absl::Time coldUntil = now + entry->coldLeft;
    server.coldUntil = isSameIncarnation ? std::max(server.coldUntil, coldUntil) : coldUntil;
    if (!isNew && !isSameIncarnation) {
        server.predatesRestore = false;
        server.usableFrom = absl::InfinitePast();
    }
    if (isBroughtBack) {
        server.predatesRestore = true;
        // An entry with a later sequence was written after the removal.
        const bool isRemoved = departure->cause == DepartedServers::Cause::Removed
            && entry->sequence <= departure->sequence;
        if (isRemoved)
            server.usableFrom = this->restoredAt + kRemovedGrace;
    }
    this->departed.remove(entry->id);
    this->idsByKey.erase(server.key);
    server.entry = *entry;
    server.key = serverKey(entry->id, entry->incarnation);
    this->idsByKey[server.key] = entry->id;
    server.usableUntil = absl::InfiniteFuture();
}

void ServerDirectory::onRemoved(const BackendServerId &id, bool storeUnsettled, absl::Time now)
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end())
        return;
    Server &server = found->second;
    if (server.entry.leaving)
        this->drop(found, DepartedServers::Cause::Drained, now);
    else if (!storeUnsettled || now < server.usableFrom)
        this->drop(found, DepartedServers::Cause::Removed, now);
    else
        server.usableUntil = std::min(server.usableUntil, now + this->grace);
}

void ServerDirectory::drop(absl::btree_map<BackendServerId, Server>::iterator server,
                           DepartedServers::Cause cause, absl::Time now)
{
    const ServerEntry &entry = server->second.entry;
    this->departed.add(entry.id, {entry.incarnation, entry.sequence, cause, now});
    this->idsByKey.erase(server->second.key);
    this->servers.erase(server);
}

void ServerDirectory::onList(const std::vector<ServerEntry> &entries, bool storeUnsettled,
                             absl::Time now)
{
    const bool isUnsettled = storeUnsettled || this->isRestoredListDue;
    this->isRestoredListDue = false;
    absl::btree_set<BackendServerId> listed;
    for (const ServerEntry &entry : entries) {
        // A server whose older incarnation is listed has not registered again yet.
        if (!this->orderedEntry(entry))
            continue;
        listed.insert(entry.id);
        this->onEntry(entry, now);
    }
    std::vector<BackendServerId> missing;
    for (const auto &[id, server] : this->servers) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const BackendServerId &id : missing)
        this->onRemoved(id, isUnsettled, now);
}

void ServerDirectory::onRestored(absl::Time now)
{
    this->isRestoredListDue = true;
    this->restoredAt = now;
    for (auto &[id, server] : this->servers) {
        server.predatesRestore = true;
        // Servers that the store had lost before have to register once more.
        server.usableUntil = absl::InfiniteFuture();
        if (server.usableFrom > now)
            server.usableFrom = now + kRemovedGrace;
    }
}

std::size_t ServerDirectory::heldAgainstStore(absl::Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->servers.begin(), this->servers.end(), [now](const auto &item) {
            const Server &server = item.second;
            return server.predatesRestore && (server.entry.leaving || now < server.usableFrom);
        }));
}

void ServerDirectory::onCold(const BackendServerId &id, absl::Duration left, absl::Time now)
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end())
        found->second.coldUntil = std::max(found->second.coldUntil, now + left);
}

std::vector<const ServerDirectory::Server *> ServerDirectory::cold(absl::Time now) const
{
    std::vector<const Server *> result;
    for (const auto &[id, server] : this->servers) {
        if (server.coldUntil > now)
            result.push_back(&server);
    }
    return result;
}

void ServerDirectory::onTick(absl::Time now)
{
    std::vector<BackendServerId> expired;
    for (const auto &[id, server] : this->servers) {
        if (server.usableUntil < now)
            expired.push_back(id);
    }
    for (const BackendServerId &id : expired)
        this->drop(this->servers.find(id), DepartedServers::Cause::Lapsed, now);
    // By now the servers have written their entries again.
    if (now - this->restoredAt > DepartedServers::kRetention) {
        for (auto &[id, server] : this->servers)
            server.predatesRestore = false;
    }
    this->departed.onTick(now);
    this->evacuationTable.onTick(now);
    this->serverBackpressure.onTick(now);
}

std::vector<const ServerDirectory::Server *> ServerDirectory::usable(const std::string &service,
                                                                     absl::Time now) const
{
    std::vector<const Server *> result;
    for (const auto &[id, server] : this->servers) {
        if (server.entry.service == service && this->mayGetWork(server, now))
            result.push_back(&server);
    }
    return result;
}

bool ServerDirectory::isUsable(const BackendServerId &id, Incarnation incarnation,
                               absl::Time now) const
{
    const Server *server = this->find(id);
    return server && server->entry.incarnation == incarnation && this->mayGetWork(*server, now);
}

const ServerDirectory::Server *ServerDirectory::find(const BackendServerId &id) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() ? nullptr : &found->second;
}

const ServerDirectory::Server *ServerDirectory::findByKey(ServerKey key) const
{
    const auto found = this->idsByKey.find(key);
    return found == this->idsByKey.end() ? nullptr : this->find(found->second);
}

const ServerDirectory::Server *ServerDirectory::findByAddress(const std::string &address) const
{
    const auto found =
        std::find_if(this->servers.begin(), this->servers.end(),
                     [&address](const auto &item) { return item.second.entry.address == address; });
    return found == this->servers.end() ? nullptr : &found->second;
}

std::vector<const ServerDirectory::Server *> ServerDirectory::all() const
{
    std::vector<const Server *> result;
    for (const auto &[id, server] : this->servers)
        result.push_back(&server);
    return result;
}

std::optional<absl::Time> ServerDirectory::pausedUntil(const std::string &service,
                                                       absl::Time now) const
{
    std::optional<absl::Time> earliest;
    for (const auto &[id, server] : this->servers) {
        if (server.entry.service != service || !this->isInService(server, now))
            continue;
        const absl::Time until = this->serverBackpressure.pausedUntil(server.key);
        if (until <= now)
            return std::nullopt;
        earliest = std::min(earliest.value_or(until), until);
    }
    return earliest;
}

bool ServerDirectory::areAllDraining(const std::string &service) const
{
    bool isListed = false;
    for (const auto &[id, server] : this->servers) {
        if (server.entry.service != service)
            continue;
        if (!this->isDraining(server))
            return false;
        isListed = true;
    }
    return isListed;
}

bool ServerDirectory::isDraining(const Server &server) const
{
    return server.entry.leaving || this->serverBackpressure.isLeaving(server.key);
}

bool ServerDirectory::mayGetWork(const Server &server, absl::Time now) const
{
    return this->isInService(server, now) && this->serverBackpressure.mayGetWork(server.key, now);
}

bool ServerDirectory::isInService(const Server &server, absl::Time now) const
{
    return !this->isDraining(server) && server.usableFrom <= now && server.usableUntil >= now
        && !this->evacuationTable.isEvacuated(server.entry.domain, now);
}

} // namespace foxtailtally

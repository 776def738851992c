#include "servers/catalog/server_directory.h"

#include "core/hash.h"

#include <algorithm>

namespace foxtailtally {

ServerKey serverKey(const BackendServerId &id, Incarnation incarnation)
{
    return static_cast<ServerKey>(stableHash(id.str(), incarnation));
}

void ServerDirectory::onEntry(const ServerEntry &entry, absl::Time now)
{
    Server &server = this->servers[entry.id];
    const bool isSameIncarnation = server.entry.incarnation == entry.incarnation;
    const absl::Time coldUntil = now + entry.coldLeft;
    server.coldUntil = isSameIncarnation ? std::max(server.coldUntil, coldUntil) : coldUntil;
    this->idsByKey.erase(server.key);
    server.entry = entry;
    server.key = serverKey(entry.id, entry.incarnation);
    this->idsByKey[server.key] = entry.id;
    server.usableUntil = absl::InfiniteFuture();
}

void ServerDirectory::onRemoved(const BackendServerId &id, bool storeUnsettled, absl::Time now)
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end())
        return;
    if (!storeUnsettled || found->second.entry.leaving) {
        this->idsByKey.erase(found->second.key);
        this->servers.erase(found);
        return;
    }
    found->second.usableUntil = std::min(found->second.usableUntil, now + kLapseGrace);
}

void ServerDirectory::onList(const std::vector<ServerEntry> &entries, bool storeUnsettled,
                             absl::Time now)
{
    absl::btree_set<BackendServerId> listed;
    for (const ServerEntry &entry : entries) {
        listed.insert(entry.id);
        this->onEntry(entry, now);
    }
    std::vector<BackendServerId> missing;
    for (const auto &[id, server] : this->servers) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const BackendServerId &id : missing)
        this->onRemoved(id, storeUnsettled, now);
}

void ServerDirectory::onCold(const BackendServerId &id, absl::Duration left, absl::Time now)
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end())
        found->second.coldUntil = std::max(found->second.coldUntil, now + left);
}

void ServerDirectory::onTick(absl::Time now)
{
    absl::erase_if(this->servers, [this, now](const auto &item) {
        const bool isExpired = item.second.usableUntil < now;
        if (isExpired)
            this->idsByKey.erase(item.second.key);
        return isExpired;
    });
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
    return !this->isDraining(server) && server.usableUntil >= now
        && !this->evacuationTable.isEvacuated(server.entry.domain, now);
}

} // namespace foxtailtally

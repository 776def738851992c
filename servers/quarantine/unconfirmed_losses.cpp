#include "servers/quarantine/unconfirmed_losses.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

bool UnconfirmedLosses::add(UnconfirmedLoss loss)
{
    if (this->count >= kMaxLosses)
        return false;
    ++this->count;
    std::vector<Entry> &losses = this->entries[serverKey(loss.server, loss.incarnation)];
    losses.push_back({std::move(loss)});
    return true;
}

void UnconfirmedLosses::onHeard(ServerKey server, absl::Time connectedAt, absl::Time now)
{
    const auto found = this->entries.find(server);
    if (found == this->entries.end())
        return;
    for (Entry &entry : found->second) {
        if (entry.loss.wasDropped && connectedAt < entry.loss.lostAt)
            continue;
        entry.heardAt = std::min(entry.heardAt, now);
        entry.isAlive = entry.isAlive || connectedAt < entry.loss.silentSince;
    }
}

void UnconfirmedLosses::onRefused(ServerKey server)
{
    const auto found = this->entries.find(server);
    if (found != this->entries.end())
        std::for_each(found->second.begin(), found->second.end(), &breakOff);
}

void UnconfirmedLosses::onBroken(ServerKey server)
{
    const auto found = this->entries.find(server);
    if (found == this->entries.end())
        return;
    for (Entry &entry : found->second) {
        if (!entry.loss.wasDropped)
            breakOff(entry);
    }
}

void UnconfirmedLosses::breakOff(Entry &entry)
{
    // What breaks later does not tell of the time before.
    if (entry.heardAt == absl::InfiniteFuture())
        entry.isBroken = true;
}

bool UnconfirmedLosses::hasEnded(const Entry &entry, const ServerDirectory &directory)
{
    const ServerDirectory::Server *listed = directory.find(entry.loss.server);
    // Another server may have accepted the connection at the address of one whose entry is gone.
    if (!listed)
        return entry.heardAt == absl::InfiniteFuture();
    return listed->entry.incarnation > entry.loss.incarnation;
}

std::optional<LossVerdict>
UnconfirmedLosses::verdict(const Entry &entry, const ServerDirectory &directory, absl::Time now)
{
    if (entry.isBroken)
        return LossVerdict::Ended;
    if (entry.isAlive)
        return LossVerdict::Heard;
    if (hasEnded(entry, directory))
        return LossVerdict::Ended;
    if (entry.heardAt + kRegistrationDelay <= now)
        return LossVerdict::Heard;
    if (entry.loss.lostAt + kRetention <= now)
        return LossVerdict::Expired;
    return std::nullopt;
}

std::vector<DecidedLoss> UnconfirmedLosses::takeDecided(const ServerDirectory &directory,
                                                        absl::Time now)
{
    std::vector<DecidedLoss> decided;
    for (auto &[server, losses] : this->entries) {
        std::erase_if(losses, [&](Entry &entry) {
            const std::optional<LossVerdict> result = verdict(entry, directory, now);
            if (result)
                decided.push_back({std::move(entry.loss), *result});
            return result.has_value();
        });
    }
    absl::erase_if(this->entries, [](const auto &item) { return item.second.empty(); });
    this->count -= decided.size();
    return decided;
}

} // namespace foxtailtally

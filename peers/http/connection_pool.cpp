#include "peers/http/connection_pool.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Connections are closed this long before the idle timeout that the server announced. */
constexpr absl::Duration kIdleTimeoutMargin = absl::Milliseconds(600);

absl::Duration maxIdleTime(const OutboundConnection &connection, absl::Duration bound)
{
    const absl::Duration announced = connection.announcedIdleTimeout();
    if (announced == absl::ZeroDuration())
        return bound;
    return std::min(bound, announced - kIdleTimeoutMargin);
}

} // namespace

std::unique_ptr<OutboundConnection> ConnectionPool::acquire(const std::string &address,
                                                            absl::Duration maxIdle, absl::Time now)
{
    return this->acquire(address, maxIdle, now, [](const OutboundConnection &) { return true; });
}

std::unique_ptr<OutboundConnection>
ConnectionPool::acquireForUnidentified(const std::string &address, absl::Duration maxIdle,
                                       absl::Time now)
{
    return this->acquire(address, maxIdle, now, [](const OutboundConnection &connection) {
        return !connection.hasUnidentifiedCalls();
    });
}

template <typename Condition>
std::unique_ptr<OutboundConnection> ConnectionPool::acquire(const std::string &address,
                                                            absl::Duration maxIdle, absl::Time now,
                                                            Condition isAllowed)
{
    const auto found = this->idle.find(address);
    if (found != this->idle.end()) {
        std::vector<Idle> &kept = found->second;
        // The most recently used connection is the least likely to have been closed by the server.
        for (std::size_t index = kept.size(); index-- > 0;) {
            if (!isAllowed(*kept[index].connection))
                continue;
            Idle last = std::move(kept[index]);
            kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(index));
            const bool isFresh = maxIdle > absl::ZeroDuration()
                && now - last.since <= maxIdleTime(*last.connection, maxIdle);
            if (isFresh && last.connection->isReusable() && !last.connection->hasUnreadInput()) {
                last.connection->setIdleBefore(now - last.since);
                return std::move(last.connection);
            }
            this->discard(std::move(last.connection));
            if (!isFresh)
                break;
        }
    }
    IdleEvents &idleEvents = *this;
    return std::make_unique<OutboundConnection>(this->base, address, idleEvents, this->memory);
}

void ConnectionPool::release(const std::string &address,
                             std::unique_ptr<OutboundConnection> connection, absl::Time now)
{
    if (!connection->isReusable()) {
        this->discard(std::move(connection));
        return;
    }
    this->idle[address].push_back({std::move(connection), now});
}

void ConnectionPool::discard(std::unique_ptr<OutboundConnection> connection)
{
    if (!connection)
        return;
    connection->cancel();
    this->discarded.push_back(std::move(connection));
}

void ConnectionPool::onTick(absl::Time now)
{
    this->discarded.clear();
    for (auto &[address, kept] : this->idle) {
        std::erase_if(kept, [this, now](Idle &entry) {
            const bool isUsable = entry.connection->isReusable()
                && now - entry.since <= maxIdleTime(*entry.connection, kMaxIdleTime);
            return !isUsable;
        });
    }
    absl::erase_if(this->idle, [](const auto &item) { return item.second.empty(); });
}

std::size_t ConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[address, kept] : this->idle)
        count += kept.size();
    return count;
}

void ConnectionPool::onIdleClosed(OutboundConnection &)
{
    // No longer reusable, so the next onTick() removes it.
}

} // namespace foxtailtally

#include "main/gateway/server_prober.h"

#include "core/clock.h"
#include "core/log.h"
#include "main/gateway/call_suspicion.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Time to establish a connection; servers are a few milliseconds away. */
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(180);

/** Interval at which probes of servers are checked that may have crashed a moment ago. */
constexpr absl::Duration kCheckInterval = absl::Milliseconds(5);

} // namespace

ServerProber::ServerProber(GatewayContext &context)
    : context(context)
    , checkTimer(context.base, [this] { this->onCheckTimer(); })
{
    context.prober = this;
}

ServerProber::~ServerProber()
{
    this->context.prober = nullptr;
}

void ServerProber::onTick(absl::Time now)
{
    this->evaluateProbes(now);
    for (const ServerKey key : this->context.reachability.takeProbes(now)) {
        const ServerDirectory::Server *server = this->context.directory.findByKey(key);
        if (!server) {
            this->context.reachability.forget(key);
            continue;
        }
        this->start(key, *server, now);
    }
}

void ServerProber::start(ServerKey key, const ServerDirectory::Server &server, absl::Time now)
{
    Probe probe;
    probe.key = key;
    probe.address = server.entry.address;
    probe.domain = server.entry.domain;
    probe.startedAt = now;
    probe.connection = this->context.pool.acquire(probe.address, absl::ZeroDuration(), now);
    this->probes.push_back(std::move(probe));
}

void ServerProber::probe(ServerKey server, absl::Time now)
{
    const ServerDirectory::Server *listed = this->context.directory.findByKey(server);
    const bool isRunning =
        std::any_of(this->probes.begin(), this->probes.end(),
                    [server](const Probe &running) { return running.key == server; });
    if (!listed || isRunning)
        return;
    this->start(server, *listed, now);
    this->checkTimer.start(kCheckInterval);
}

void ServerProber::onCheckTimer()
{
    const absl::Time now = Clock::now();
    this->evaluateProbes(now);
    settleUnconfirmedLosses(this->context, now);
    if (!this->probes.empty())
        this->checkTimer.start(kCheckInterval);
}

void ServerProber::evaluateProbes(absl::Time now)
{
    std::vector<Probe> pending;
    pending.swap(this->probes);
    for (Probe &probe : pending) {
        if (probe.connection->isConnected()) {
            // A silent server that accepts connections was not unreachable and is not logged.
            if (!this->context.reachability.isReachable(probe.key, probe.domain))
                logEvent(LogLevel::Info, "server_reachable", {{"address", probe.address}});
            this->context.reachability.onConnected(probe.key, probe.domain, probe.startedAt);
            this->context.unconfirmedLosses.onHeard(probe.key, probe.startedAt, now);
            this->context.pool.release(probe.address, std::move(probe.connection), now);
            continue;
        }
        // A connection that is refused or reset immediately does not show that the server is
        // silent.
        const bool isHanging = probe.connection->isUsable();
        if (isHanging && now - probe.startedAt < kConnectTimeout) {
            this->probes.push_back(std::move(probe));
            continue;
        }
        if (isHanging)
            this->recordTimeout(probe, now);
        else if (probe.connection->endCause() == ConnectionEnd::Refused)
            this->context.unconfirmedLosses.onRefused(probe.key);
        this->context.pool.discard(std::move(probe.connection));
    }
}

void ServerProber::recordTimeout(const Probe &probe, absl::Time now)
{
    Reachability &reachability = this->context.reachability;
    const bool wasDark = reachability.isUnresponsive(probe.key);
    reachability.onConnectFailed(probe.key, probe.domain, now);
    if (!wasDark && reachability.isUnresponsive(probe.key))
        logEvent(LogLevel::Info, "server_dark", {{"address", probe.address}});
}

} // namespace foxtailtally

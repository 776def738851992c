#include "main/gateway/server_prober.h"

#include "core/log.h"

#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Time within which a connection comes about; servers are a few milliseconds away. */
constexpr absl::Duration kConnectTime = absl::Milliseconds(180);

} // namespace

void ServerProber::onTick(absl::Time now)
{
    this->judge(now);
    for (const ServerKey key : this->context.reachability.takeProbes(now)) {
        const ServerDirectory::Server *server = this->context.directory.findByKey(key);
        if (!server) {
            this->context.reachability.forget(key);
            continue;
        }
        Probe probe;
        probe.key = key;
        probe.address = server->entry.address;
        probe.domain = server->entry.domain;
        probe.startedAt = now;
        probe.connection = this->context.pool.acquire(probe.address, absl::ZeroDuration(), now);
        this->probes.push_back(std::move(probe));
    }
}

void ServerProber::judge(absl::Time now)
{
    std::vector<Probe> judged;
    judged.swap(this->probes);
    for (Probe &probe : judged) {
        if (probe.connection->isConnected()) {
            // A silent server that takes connections is no news.
            if (!this->context.reachability.isReachable(probe.key, probe.domain))
                logEvent(LogLevel::Info, "server_reachable", {{"address", probe.address}});
            this->context.reachability.onConnected(probe.key, probe.domain);
            this->context.pool.release(probe.address, std::move(probe.connection), now);
            continue;
        }
        // One that was reset at once is no sign of silence.
        const bool isHanging = probe.connection->isUsable();
        if (isHanging && now - probe.startedAt < kConnectTime) {
            this->probes.push_back(std::move(probe));
            continue;
        }
        if (isHanging)
            this->noteSilence(probe, now);
        this->context.pool.discard(std::move(probe.connection));
    }
}

void ServerProber::noteSilence(const Probe &probe, absl::Time now)
{
    Reachability &reachability = this->context.reachability;
    const bool wasDark = reachability.isDark(probe.key);
    reachability.onConnectFailed(probe.key, probe.domain, now);
    if (!wasDark && reachability.isDark(probe.key))
        logEvent(LogLevel::Info, "server_dark", {{"address", probe.address}});
}

} // namespace foxtailtally

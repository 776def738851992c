#include "main/gateway/server_prober.h"

#include "core/log.h"

#include <nlohmann/json.hpp>

namespace foxtailtally {

void ServerProber::onTick(absl::Time now)
{
    this->judge(now);
    for (const ServerKey key : this->context.reachability.takeProbes(now)) {
        const ServerDirectory::Server *server = this->context.directory.findKey(key);
        if (!server) {
            this->context.reachability.forget(key);
            continue;
        }
        Probe probe;
        probe.key = key;
        probe.address = server->entry.address;
        probe.domain = server->entry.domain;
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
            logEvent(LogLevel::Info, "server_reachable", {{"address", probe.address}});
            this->context.reachability.onConnected(probe.key, probe.domain);
            this->context.pool.release(probe.address, std::move(probe.connection), now);
        } else {
            this->context.pool.discard(std::move(probe.connection));
        }
    }
}

} // namespace foxtailtally

#pragma once

#include "main/gateway/admin_endpoint.h"
#include "main/gateway/caller_session.h"
#include "main/gateway/fleet_control.h"
#include "main/gateway/gateway_context.h"
#include "main/gateway/server_prober.h"
#include "main/gateway/store_sync.h"
#include "peers/http/loop_timer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <memory>
#include <system_error>

struct event;
struct event_base;
struct evconnlistener;

namespace foxtailtally {

/**
 * An entry instance on the users' platform, with one thread and one event loop. It routes each call
 * on its own, based on the state received from the store and from other instances.
 */
class Gateway final : private SessionOwner
{
public:
    explicit Gateway(const GatewaySettings &settings);
    ~Gateway() override;
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    std::error_code start();
    /** Serves until a graceful stop is complete. */
    void run();

private:
    void onAccept(int socket);
    void onSessionClosed(CallerSession &session) override;
    void onTick();
    void applyConfigToSessions();
    void beginStop();
    void continueStop(absl::Time now);
    void onStopTimer();
    /** Ends the loop, and with it the process. */
    void endLoop(absl::Time now);
    /** Reports requests that have begun and are neither ended nor open in a session. */
    void checkAccount();
    void endOpenRequests(absl::Time now);
    bool isReady(absl::Time now) const;
    AdminAnswer answerReady() const;
    AdminAnswer answerMetrics() const;

    event_base *base;
    GatewayContext context;
    StoreSync store;
    /** Null in a deployment without a control API. */
    std::unique_ptr<FleetControl> control;
    ServerProber prober;
    AdminEndpoint readyEndpoint;
    AdminEndpoint metricsEndpoint;
    evconnlistener *listener = nullptr;
    event *termination = nullptr;
    LoopTimer tick;
    LoopTimer stopTimer;
    /** Configuration whose limits the open sessions have. */
    std::shared_ptr<const ServingConfig> appliedConfig;
    absl::flat_hash_map<CallerSession *, std::unique_ptr<CallerSession>> sessions;
};

} // namespace foxtailtally

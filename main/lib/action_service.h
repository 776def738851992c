#pragma once

#include "core/event_loop.h"
#include "core/metrics.h"
#include "core/rcu_pointer.h"
#include "main/lib/claim_coordinator.h"
#include "main/lib/serving_state.h"
#include "peers/caller/completion_call.h"
#include "peers/http/http_server.h"
#include "peers/service/service_client.h"
#include "servers/session/action_session.h"

#include <absl/container/flat_hash_map.h>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

struct ActionContext
{
    InstanceId self;
    FailureDomainId domain;
    Incarnation incarnation = 0;
    CompletionDefaults defaults;
    const RcuPointer<ServingState> *state = nullptr;
    ClaimCoordinator *claims = nullptr;
    const ServiceClient *services = nullptr;
    Metrics *metrics = nullptr;
};

class ActionRun;

/** Handles POST /v1/services/<service>/<call>. Each call has an ActionSession on the one loop. */
class ActionService
{
public:
    explicit ActionService(ActionContext context);
    ~ActionService();
    ActionService(const ActionService &) = delete;
    ActionService &operator=(const ActionService &) = delete;

    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    friend class ActionRun;

    void begin(const std::shared_ptr<HttpExchange> &exchange);
    void tick();
    /** Runs @p task on a thread that may block; false at kMaxCallsPerAddress calls in flight. */
    bool runBlocking(const std::string &address, std::function<void()> task);

    ActionContext context;
    std::atomic<std::uint64_t> nextRequest {1};
    std::uint64_t nextWorker = 0;
    absl::flat_hash_map<std::string, int> callsByAddress;
    std::vector<std::shared_ptr<ActionRun>> runs;
    std::vector<std::unique_ptr<EventLoop>> workers;
    EventLoop loop;
};

} // namespace foxtailtally

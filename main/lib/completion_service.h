#pragma once

#include "core/event_loop.h"
#include "core/metrics.h"
#include "core/rcu_pointer.h"
#include "main/lib/customer_limits.h"
#include "main/lib/reservation_port.h"
#include "main/lib/serving_state.h"
#include "peers/caller/completion_call.h"
#include "peers/engine/engine_client.h"
#include "peers/http/http_server.h"
#include "servers/routing/routing_policy.h"
#include "servers/routing/routing_view.h"
#include "servers/session/request_session.h"

#include <atomic>
#include <memory>
#include <vector>

namespace foxtailtally {

/** Dependencies of CompletionService; everything pointed to must outlive the service. */
struct CompletionContext
{
    InstanceId self;
    FailureDomainId domain;
    Incarnation incarnation = 0;
    CompletionDefaults defaults;
    RequestSessionOptions session;
    std::size_t streamBufferSum = 0;
    const RcuPointer<RoutingView> *view = nullptr;
    const RcuPointer<ServingState> *state = nullptr;
    const RoutingPolicy *policy = nullptr;
    ReservationPort *reservations = nullptr;
    CustomerLimits *limits = nullptr;
    EngineClient *engines = nullptr;
    Metrics *metrics = nullptr;
};

class CompletionRun;

/** Handles POST /v1/chat/completions. Each request has a RequestSession on one of the loops. */
class CompletionService
{
public:
    CompletionService(CompletionContext context, int loops);
    ~CompletionService();
    CompletionService(const CompletionService &) = delete;
    CompletionService &operator=(const CompletionService &) = delete;

    void handle(const std::shared_ptr<HttpExchange> &exchange);
    /** Requests without a final response. */
    std::size_t openRequests() const { return this->open.load(); }
    /** Bytes buffered for callers that read slowly. */
    std::size_t bufferedBytes() const { return this->buffered.load(); }

private:
    friend class CompletionRun;

    /** Buffer size for one caller; small while the total of all buffers is high. */
    std::size_t bufferBytes() const;
    /** Refuses a request that has not been started, and counts the refusal. */
    void refuse(const std::shared_ptr<HttpExchange> &exchange, const Refusal &refusal) const;

    struct Worker;

    void begin(Worker &worker, const std::shared_ptr<HttpExchange> &exchange);
    void tick(Worker &worker);

    CompletionContext context;
    EventLoop holds {"long-contexts"};
    std::vector<std::unique_ptr<Worker>> workers;
    std::atomic<std::uint64_t> nextWorker {0};
    std::atomic<std::uint64_t> nextRequest {1};
    std::atomic<std::size_t> open {0};
    std::atomic<std::size_t> buffered {0};
};

} // namespace foxtailtally

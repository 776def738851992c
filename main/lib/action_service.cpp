#include "main/lib/action_service.h"

#include "core/clock.h"
#include "core/hash.h"
#include "main/lib/action_run.h"
#include "peers/caller/caller_replies.h"

#include <absl/strings/str_split.h>
#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(10);
/** Threads that block on calls to services; further calls are queued behind them. */
constexpr std::size_t kWorkers = 16;
/** Calls in flight to one instance of a service, so that a hung one cannot block all threads. */
constexpr int kMaxCallsPerAddress = 8;

const ServiceCallEntry *findCall(const ReleaseNote &note, const std::string &service,
                                 const std::string &call, bool &checksFence)
{
    for (const ServiceEntry &entry : note.state.services) {
        if (entry.name != service)
            continue;
        checksFence = entry.checksFence;
        for (const ServiceCallEntry &candidate : entry.calls) {
            if (candidate.name == call)
                return &candidate;
        }
    }
    return nullptr;
}

} // namespace

ActionService::ActionService(ActionContext serviceContext)
    : context(std::move(serviceContext))
    , loop("service-calls")
{
    for (std::size_t i = 0; i < kWorkers; ++i)
        this->workers.push_back(std::make_unique<EventLoop>("service-io"));
    this->loop.every(kTickPeriod, [this] { this->tick(); });
}

ActionService::~ActionService()
{
    for (const std::unique_ptr<EventLoop> &worker : this->workers)
        worker->stop();
    this->loop.stop();
}

void ActionService::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    this->loop.post([this, exchange] { this->begin(exchange); });
}

void ActionService::begin(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    // "", "v1", "services", service, call
    const std::vector<std::string> path = absl::StrSplit(request.path, '/');
    if (path.size() != 5)
        return exchange->respond(callerErrorResponse({404, "not_found", "no such path"}));
    const auto timeLimit = parseTimeLimit(
        request, this->context.defaults.timeLimits[static_cast<std::size_t>(RequestClass::Urgent)],
        this->context.defaults.maxTimeLimit);
    if (std::holds_alternative<CallerError>(timeLimit))
        return exchange->respond(callerErrorResponse(std::get<CallerError>(timeLimit)));

    ActionProfile profile;
    std::vector<InstanceEntry> targets;
    const RefusalReason denied = this->context.state->read([&](const ServingState &state) {
        const CustomerEntry *customer = state.authenticate(bearerToken(request));
        if (customer == nullptr)
            return RefusalReason::UnknownCustomer;
        profile.customer = customer->id;
        const ServiceCallEntry *call = findCall(state.note, path[3], path[4], profile.checksFence);
        if (call == nullptr)
            return RefusalReason::UnknownModel;
        profile.isRepeatable = call->isRepeatable;
        const auto found = state.services.find(path[3]);
        if (found == state.services.end() || found->second.empty())
            return RefusalReason::NoServer;
        targets = found->second;
        return RefusalReason::None;
    });
    if (denied != RefusalReason::None)
        return exchange->respond(refusalResponse({denied, true, absl::Seconds(1)}));
    profile.key = std::string(request.header("idempotency-key"));
    if (!profile.isRepeatable && profile.key.empty())
        return exchange->respond(callerErrorResponse(
            {400, "request_malformed", "this call needs an Idempotency-Key header"}));

    const absl::Time now = Clock::now();
    std::string body = exchange->takeBody();
    profile.id =
        RequestId(this->context.self.str() + "-" + std::to_string(this->context.incarnation) + "-s"
                  + std::to_string(this->nextRequest.fetch_add(1)));
    profile.service = path[3];
    profile.call = path[4];
    profile.bodyFingerprint = fingerprintOf(path[3] + '\n' + path[4] + '\n' + body);
    profile.deadline = now + std::get<absl::Duration>(timeLimit);
    std::stable_partition(targets.begin(), targets.end(), [this](const InstanceEntry &target) {
        return target.domain == this->context.domain;
    });
    auto run = std::make_shared<ActionRun>(*this, exchange, std::move(profile), std::move(body),
                                           std::move(targets));
    this->runs.push_back(run);
    run->start(now);
}

void ActionService::tick()
{
    const absl::Time now = Clock::now();
    for (const std::shared_ptr<ActionRun> &run : this->runs)
        run->onTick(now);
    std::erase_if(this->runs, [](const auto &run) { return run->isOver(); });
}

bool ActionService::runBlocking(const std::string &address, std::function<void()> task)
{
    int &calls = this->callsByAddress[address];
    if (calls >= kMaxCallsPerAddress)
        return false;
    calls += 1;
    this->workers[this->nextWorker++ % this->workers.size()]->post(std::move(task));
    return true;
}

} // namespace foxtailtally

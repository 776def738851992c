#include "main/lib/completion_service.h"

#include "core/clock.h"
#include "core/hash.h"
#include "main/lib/completion_run.h"
#include "peers/caller/caller_replies.h"
#include "peers/engine/prompt_blocks.h"
#include "servers/quarantine/quarantine.h"

#include <algorithm>
#include <utility>

namespace foxtailtally {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(10);
/** Leading prompt blocks that routing compares; more would enlarge every reservation message. */
constexpr std::size_t kRoutedBlocks = 16;
/** With 4,096 connections at this size, the buffers use at most half of the default total. */
constexpr std::size_t kScarceBufferBytes = 4096;

/** Whether the release note lets @p customer use the model; otherwise the reason for refusal. */
RefusalReason checkPermission(const ServingState &state, const CustomerEntry &customer,
                              const CompletionCall &call, absl::Time wallNow)
{
    if (!state.note.allowsNewWork(call.model, wallNow))
        return RefusalReason::UnknownModel;
    for (const ModelId &model : customer.models) {
        if (model == call.model)
            return RefusalReason::None;
    }
    return RefusalReason::UnknownModel;
}

} // namespace

struct CompletionService::Worker
{
    explicit Worker(const std::string &name)
        : loop(name)
    { }

    std::vector<std::shared_ptr<CompletionRun>> runs;
    EventLoop loop;
};

CompletionService::CompletionService(CompletionContext serviceContext, int loops)
    : context(std::move(serviceContext))
{
    for (int i = 0; i < loops; ++i) {
        this->workers.push_back(std::make_unique<Worker>("requests-" + std::to_string(i)));
        Worker &worker = *this->workers.back();
        worker.loop.every(kTickPeriod, [this, &worker] { this->tick(worker); });
    }
}

CompletionService::~CompletionService()
{
    for (const std::unique_ptr<Worker> &worker : this->workers)
        worker->loop.stop();
}

void CompletionService::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    // Parsing a body of several megabytes takes tens of milliseconds, so it does not run on the
    // HTTP server's threads.
    Worker &worker = *this->workers[this->nextWorker.fetch_add(1) % this->workers.size()];
    worker.loop.post([this, &worker, exchange] { this->begin(worker, exchange); });
}

std::size_t CompletionService::bufferBytes() const
{
    const bool isScarce = this->buffered.load() > this->context.streamBufferSum / 2;
    return isScarce ? std::min(kScarceBufferBytes, this->context.session.bufferBytes)
                    : this->context.session.bufferBytes;
}

void CompletionService::refuse(const std::shared_ptr<HttpExchange> &exchange,
                               const Refusal &refusal) const
{
    this->context.metrics
        ->counter("foxtailtally_refusals_total", {{"reason", refusalName(refusal.reason)}})
        .add();
    exchange->respond(refusalResponse(refusal));
}

void CompletionService::begin(Worker &worker, const std::shared_ptr<HttpExchange> &exchange)
{
    const std::uint64_t number = this->nextRequest.fetch_add(1);
    const std::string body = exchange->takeBody();
    auto parsed = parseCompletionCall(exchange->request(), body, this->context.defaults);
    if (std::holds_alternative<CallerError>(parsed))
        return exchange->respond(callerErrorResponse(std::get<CallerError>(parsed)));
    auto &call = std::get<CompletionCall>(parsed);

    const absl::Time now = Clock::now();
    RequestProfile profile;
    std::vector<FailureDomainId> domains;
    const RefusalReason denied = this->context.state->read([&](const ServingState &state) {
        const CustomerEntry *customer = state.authenticate(bearerToken(exchange->request()));
        if (customer == nullptr)
            return RefusalReason::UnknownCustomer;
        profile.customer = customer->id;
        domains = customer->failureDomains;
        return checkPermission(state, *customer, call, Clock::wallNow());
    });
    if (denied != RefusalReason::None)
        return this->refuse(exchange, {denied, true, absl::ZeroDuration()});

    profile.id =
        RequestId(this->context.self.str() + "-" + std::to_string(this->context.incarnation) + "-"
                  + std::to_string(number));
    profile.model = call.model;
    profile.adapter = call.adapter;
    profile.requestClass = call.requestClass;
    profile.promptTokens = promptTokensOf(call.prompt);
    profile.maxNewTokens = call.maxTokens;
    profile.deadline = now + call.timeLimit;
    profile.prefixBlocks = prefixBlocksOf(call.model, call.adapter, call.prompt, kRoutedBlocks);
    profile.fingerprint =
        fingerprintOf(profile.customer.str() + '\n' + call.model.str() + '\n' + call.prompt);
    profile.deathsSeen = this->context.reservations->deathsSeen(profile.fingerprint);
    if (profile.deathsSeen >= kQuarantineDeaths)
        return this->refuse(exchange, {RefusalReason::Quarantined, true, kQuarantineDuration});
    const Refusal exceeded =
        this->context.limits->tryTake(profile.customer, profile.memoryTokens(), now);
    if (exceeded.reason != RefusalReason::None)
        return this->refuse(exchange, exceeded);
    this->open.fetch_add(1);
    auto run = std::make_shared<CompletionRun>(*this, worker.loop, exchange, std::move(call),
                                               std::move(profile), std::move(domains));
    worker.runs.push_back(run);
    run->start(now);
}

void CompletionService::tick(Worker &worker)
{
    const absl::Time now = Clock::now();
    for (const std::shared_ptr<CompletionRun> &run : worker.runs)
        run->onTick(now);
    std::erase_if(worker.runs, [](const auto &run) { return run->isFinished(); });
}

} // namespace foxtailtally

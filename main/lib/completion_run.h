#pragma once

#include "main/lib/completion_service.h"
#include "main/lib/long_context_hold.h"
#include "peers/caller/caller_replies.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>

namespace foxtailtally {

/** One completion: passes events to its RequestSession and executes the actions. */
class CompletionRun : public std::enable_shared_from_this<CompletionRun>
{
public:
    CompletionRun(CompletionService &service, EventLoop &loop,
                  std::shared_ptr<HttpExchange> exchange, CompletionCall call,
                  RequestProfile profile, std::vector<FailureDomainId> domains);

    /** All methods run on the loop of the request. */
    void start(absl::Time now);
    void onTick(absl::Time now);
    bool isFinished() const { return this->session.isFinished(); }

private:
    class Listener;

    template <typename Event>
    void postEvent(Event &&event);
    void apply(const SessionActions &actions);
    void on(const SendReserve &action);
    void on(const CancelReserve &action);
    void on(const StartEngine &action);
    void on(const CancelEngine &action);
    void on(const PauseEngine &action);
    void on(const ResumeEngine &action);
    void on(const ReleasePermit &action);
    void on(const ReportSuspect &action);
    void on(const SendToken &action);
    void on(const FinishAnswer &action);
    void on(const RefuseRequest &action);
    void on(const FailAnswer &action);

    /** Groups in order of preference, in the failure domains that the customer may use. */
    std::vector<GroupId> rankGroups(absl::Time now) const;
    void startCompletion(const StartEngine &action);
    std::string attemptName(std::uint64_t attempt) const;
    void startStream();
    void updateBuffered();
    void finish(std::string_view outcome, RefusalReason reason);

    struct Engine
    {
        std::shared_ptr<EngineServer> server;
        CompletionId completion = 0;
        std::shared_ptr<LongContextHold> hold;
        bool isStarted = false;
        bool isCancelled = false;
    };

    CompletionService &service;
    EventLoop &loop;
    std::shared_ptr<HttpExchange> exchange;
    std::shared_ptr<HttpBodyWriter> writer;
    CompletionCall call;
    std::vector<FailureDomainId> domains;
    RequestSession session;
    absl::Time startedAt;
    absl::Time firstTokenAt = absl::InfiniteFuture();
    absl::flat_hash_map<std::uint64_t, Engine> engines;
    std::string fullText;
    std::size_t accountedBytes = 0;
    bool isDone = false;
};

} // namespace foxtailtally

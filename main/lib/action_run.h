#pragma once

#include "main/lib/action_service.h"

#include <memory>
#include <string>

namespace foxtailtally {

/** One call to a plain service: passes events to its ActionSession and executes the actions. */
class ActionRun : public std::enable_shared_from_this<ActionRun>
{
public:
    ActionRun(ActionService &service, std::shared_ptr<HttpExchange> exchange, ActionProfile profile,
              std::string body, std::vector<InstanceEntry> targets);

    /** All methods run on the loop of the service. */
    void start(absl::Time now);
    void onTick(absl::Time now);
    bool isOver() const { return this->session.isOver(); }

private:
    void apply(const ActionSessionActions &actions);
    void on(const SendClaim &action);
    void on(const DispatchCall &action);
    void on(const RecordOutcome &action);
    void on(const AnswerAction &action);
    void on(const RefuseCall &action);
    void onClaimAnswer(const ClaimAction &answer);
    /** Runs on a thread that may block. */
    CallEnd perform(ServiceCall &call) const;
    void finish(std::string_view outcome, RefusalReason reason);

    ActionService &service;
    std::shared_ptr<HttpExchange> exchange;
    ActionSession session;
    std::string body;
    /** Live instances of the service; those in this instance's failure domain come first. */
    std::vector<InstanceEntry> targets;
    absl::Time startedAt;
};

} // namespace foxtailtally

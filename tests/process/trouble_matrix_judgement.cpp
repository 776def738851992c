#include "tests/process/trouble_matrix_judgement.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace foxtailtally {

namespace {

/** Part of a request's time before which the gateway may not fail it by itself. */
constexpr double kEarlyShare = 0.7;

/** Statuses by which the gateway promises that a request has not run and never will. */
bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/** For a request that is admitted after the change. */
MatrixEntitlement entitlementByChange(const MatrixOutcome &outcome)
{
    // Requests whose head has begun keep the limits of that time.
    const bool isLimitNew = outcome.isNext || outcome.cell.step != MatrixStep::HeadHalfSent;
    switch (outcome.cell.change) {
    case MatrixChange::HeaderLimitShrinks:
        if (isLimitNew)
            return {{431}, false, "the head is larger than the new limit"};
        return {};
    case MatrixChange::BodyLimitShrinks:
        if (isLimitNew)
            return {{413}, false, "the body is larger than the new limit"};
        return {};
    case MatrixChange::HeaderTimeoutShrinks:
        if (isLimitNew)
            return {{408}, false, "the head takes longer than the new limit"};
        return {};
    case MatrixChange::TimeoutShrinks:
        return {{503, 504}, false, "the new timeout of 30 ms is shorter than the request"};
    case MatrixChange::RoutesDropped:
    case MatrixChange::ServicesRemoved:
        return {{404}, false, "the route is gone"};
    case MatrixChange::RoutesMoved:
        if (outcome.kind == MatrixKind::Action || outcome.kind == MatrixKind::ResumableStream)
            return {{503}, false, "the new service of the route has no servers"};
        return {};
    case MatrixChange::KeyRevoked:
    case MatrixChange::CustomersRemoved:
        if (outcome.kind != MatrixKind::PublicAction)
            return {{401}, false, "the key is gone"};
        return {};
    case MatrixChange::PlannedStop:
        return {{503}, true, "the process stops and takes no new requests"};
    default:
        return {};
    }
}

} // namespace

MatrixEntitlement entitlementOf(const MatrixOutcome &outcome)
{
    const MatrixStep step = outcome.cell.step;
    if (outcome.isNext || outcome.isLate || isAdmittedAfterChange(step))
        return entitlementByChange(outcome);
    const bool isBodyMissing =
        step == MatrixStep::BodyHalfSent || step == MatrixStep::ChunkedBodyHalfSent;
    if (outcome.cell.change == MatrixChange::PlannedStop && isBodyMissing)
        return {{503}, true, "the process stops before it has the whole request"};
    return {};
}

std::vector<std::string> judge(const MatrixOutcome &outcome)
{
    std::vector<std::string> problems;
    const MatrixAnswer &answer = outcome.answer;
    const MatrixEntitlement entitled = entitlementOf(outcome);
    const std::string seen =
        absl::StrCat("status ", answer.status, " after ", absl::FormatDuration(answer.took),
                     ", runs ", outcome.runs);
    // A server that crashes leaves open whether what it had got has run.
    const bool isLostInCrash = outcome.hasMetCrash && runsOnce(outcome.kind);
    if (runsOnce(outcome.kind) && outcome.runs > 1)
        problems.push_back(absl::StrCat("ran more than once: ", seen));
    if (isPromise(answer.status) && outcome.runs > 0)
        problems.push_back(absl::StrCat("refused as not run, but has run: ", seen));
    if (!answer.callId.empty() && answer.callId != outcome.callId)
        problems.push_back(absl::StrCat("a response to ", answer.callId, ": ", seen));
    if (answer.status == 0 || !answer.isComplete) {
        const bool isUnread = answer.wasClosed && answer.status == 0 && outcome.runs == 0
            && (entitled.mayCloseUnread || outcome.isBehindLastAnswer);
        const bool isCutOff = isLostInCrash && isStream(outcome.kind) && answer.status == 200;
        if (!isUnread && !isCutOff)
            problems.push_back(absl::StrCat(answer.wasClosed ? "closed" : "waited",
                                            " without a complete answer: ", seen));
        return problems;
    }
    if (answer.status == 200) {
        if (!answer.isSigned || answer.body != outcome.expectedBody)
            problems.push_back(absl::StrCat("a success that is not the server's: ", seen));
        return problems;
    }
    if (std::find(entitled.statuses.begin(), entitled.statuses.end(), answer.status)
        != entitled.statuses.end())
        return problems;
    if (answer.status == 429 || answer.status == 503) {
        if (outcome.cell.trouble == MatrixTrouble::None)
            problems.push_back(absl::StrCat("refused beside sound servers: ", seen));
        return problems;
    }
    if (answer.status != 502 && answer.status != 504)
        problems.push_back(absl::StrCat("an answer that nothing allows: ", seen));
    else if (answer.took < kEarlyShare * outcome.time && !isLostInCrash)
        problems.push_back(absl::StrCat("failed before its time: ", seen));
    return problems;
}

} // namespace foxtailtally

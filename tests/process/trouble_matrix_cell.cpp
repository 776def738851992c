#include "tests/process/trouble_matrix_cell.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cstddef>
#include <iterator>

namespace foxtailtally {

namespace {

template <typename Item>
const Item &drawnFrom(const std::vector<Item> &items, Random &random)
{
    return items[random.below(items.size())];
}

} // namespace

std::string nameOf(MatrixTrouble trouble)
{
    static constexpr std::array<const char *, kMatrixTroubles.size()> kNames = {
        "None",           "IdleDrop50",      "IdleDrop300",     "IdleDrop2000",  "CutOff300",
        "CutOff1000",     "CutOff1900",      "Silent300",       "Silent1000",    "Silent1900",
        "LostAnswers300", "LostAnswers1000", "LostAnswers1900", "ServerLeaving", "RetryAfter",
        "ServerLimit",    "OmittedLength",   "EndlessBytes",    "CrashingCall",  "StoreSilent",
        "StoreSlow",      "StoreRestored",
    };
    return kNames.at(static_cast<std::size_t>(trouble));
}

std::string nameOf(MatrixChange change)
{
    static constexpr std::array<const char *, kMatrixChanges.size()> kNames = {
        "None",
        "HeaderLimitShrinks",
        "HeaderLimitGrows",
        "BodyLimitShrinks",
        "BodyLimitGrows",
        "HeaderTimeoutShrinks",
        "HeaderTimeoutGrows",
        "IdleTimeoutShrinks",
        "IdleTimeoutGrows",
        "TimeoutShrinks",
        "TimeoutGrows",
        "AttemptsShrink",
        "RoutesDropped",
        "RoutesMoved",
        "ServicesRemoved",
        "KeyRevoked",
        "CustomersRemoved",
        "WeightsShift",
        "RoutesAdded",
        "Storm",
        "Reload",
        "PlannedStop",
        "EvacuationTakenBack",
        "ServersReplaced",
    };
    return kNames.at(static_cast<std::size_t>(change));
}

std::string nameOf(MatrixStep step)
{
    static constexpr std::array<const char *, kMatrixSteps.size()> kNames = {
        "HeadHalfSent", "BodyHalfSent",           "ChunkedBodyHalfSent",
        "AtServer",     "StreamRunning",          "StreamEnding",
        "Resuming",     "BetweenAttempts",        "SecondAttempt",
        "Reserving",    "PipelinedBehindAStream", "ConnectionIdle",
    };
    return kNames.at(static_cast<std::size_t>(step));
}

std::string nameOf(MatrixKind kind)
{
    static constexpr std::array<const char *, kMatrixKinds.size()> kNames = {
        "Read", "PublicAction", "Action", "ResumableStream", "PlainStream", "LongPrompt",
    };
    return kNames.at(static_cast<std::size_t>(kind));
}

std::string nameOf(const MatrixCell &cell)
{
    return absl::StrCat(nameOf(cell.trouble), "/", nameOf(cell.change), "/", nameOf(cell.step), "/",
                        nameOf(cell.kind), cell.isTenth ? "/tenth" : "/first",
                        cell.hasNext ? "/pipelined" : "/single");
}

bool isStream(MatrixKind kind)
{
    return kind == MatrixKind::ResumableStream || kind == MatrixKind::PlainStream
        || kind == MatrixKind::LongPrompt;
}

bool runsOnce(MatrixKind kind)
{
    return kind == MatrixKind::PublicAction || kind == MatrixKind::Action
        || kind == MatrixKind::PlainStream;
}

bool isPossible(MatrixStep step, MatrixKind kind)
{
    switch (step) {
    case MatrixStep::StreamRunning:
    case MatrixStep::StreamEnding:
        return isStream(kind);
    case MatrixStep::Resuming:
        return isStream(kind) && !runsOnce(kind);
    case MatrixStep::SecondAttempt:
        return kind == MatrixKind::Read;
    case MatrixStep::Reserving:
        return kind == MatrixKind::LongPrompt;
    default:
        return true;
    }
}

bool isAdmittedAfterChange(MatrixStep step)
{
    return step == MatrixStep::HeadHalfSent || step == MatrixStep::ConnectionIdle
        || step == MatrixStep::PipelinedBehindAStream;
}

std::vector<MatrixCell> drawCells(MatrixTrouble trouble, MatrixChange change, std::size_t perStep,
                                  Random &random)
{
    std::vector<MatrixCell> cells;
    // Only a long prompt can be at the step Reserving, so each batch has one there.
    std::vector<MatrixStep> longPromptSteps(kMatrixSteps.begin(), kMatrixSteps.end());
    std::erase(longPromptSteps, MatrixStep::Reserving);
    while (longPromptSteps.size() >= kMaxLongPrompts)
        longPromptSteps.erase(longPromptSteps.begin()
                              + static_cast<std::ptrdiff_t>(random.below(longPromptSteps.size())));
    longPromptSteps.push_back(MatrixStep::Reserving);
    for (const MatrixStep step : kMatrixSteps) {
        std::vector<MatrixKind> kinds;
        std::copy_if(kMatrixKinds.begin(), kMatrixKinds.end(), std::back_inserter(kinds),
                     [&](MatrixKind kind) {
                         const bool hasMemory = kind != MatrixKind::LongPrompt
                             || std::find(longPromptSteps.begin(), longPromptSteps.end(), step)
                                 != longPromptSteps.end();
                         return hasMemory && isPossible(step, kind);
                     });
        for (std::size_t number = 0; number < perStep && !kinds.empty(); ++number) {
            const MatrixKind kind = drawnFrom(kinds, random);
            std::erase(kinds, kind);
            cells.push_back(
                {trouble, change, step, kind, random.below(2) == 1, random.below(2) == 1});
        }
    }
    return cells;
}

std::vector<MatrixChange> drawChanges(std::size_t count, Random &random)
{
    std::vector<MatrixChange> left(kMatrixChanges.begin() + 1, kMatrixChanges.end());
    std::vector<MatrixChange> drawn;
    while (drawn.size() < count && !left.empty()) {
        drawn.push_back(drawnFrom(left, random));
        std::erase(left, drawn.back());
    }
    return drawn;
}

} // namespace foxtailtally

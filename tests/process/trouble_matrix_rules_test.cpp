#include "tests/process/trouble_matrix_cell.h"
#include "tests/process/trouble_matrix_judgement.h"

#include <absl/container/btree_set.h>
#include <gtest/gtest.h>
#include <string>

namespace foxtailtally {
namespace {

MatrixOutcome servedOutcome(MatrixKind kind = MatrixKind::Action)
{
    MatrixOutcome outcome;
    outcome.cell.trouble = MatrixTrouble::Silent1000;
    outcome.cell.step = MatrixStep::AtServer;
    outcome.cell.kind = kind;
    outcome.kind = kind;
    outcome.expectedBody = "body";
    outcome.time = absl::Seconds(4);
    outcome.answer.status = 200;
    outcome.answer.isComplete = true;
    outcome.answer.isSigned = true;
    outcome.answer.body = "body";
    outcome.runs = 1;
    return outcome;
}

MatrixOutcome failedOutcome(int status, int runs, absl::Duration took = absl::Seconds(1))
{
    MatrixOutcome outcome = servedOutcome();
    outcome.answer.status = status;
    outcome.answer.isSigned = false;
    outcome.answer.took = took;
    outcome.runs = runs;
    return outcome;
}

// Guards against a judgement that lets a broken rule pass.
TEST(TroubleMatrixJudgement, FindsBrokenRules)
{
    MatrixOutcome cut = servedOutcome();
    cut.answer.isComplete = false;
    cut.answer.wasClosed = true;
    EXPECT_FALSE(judge(cut).empty());
    cut.answer.status = 0;
    cut.runs = 0;
    EXPECT_FALSE(judge(cut).empty());
    MatrixOutcome twice = servedOutcome();
    twice.runs = 2;
    EXPECT_FALSE(judge(twice).empty());
    MatrixOutcome other = servedOutcome();
    other.answer.body = "another body";
    EXPECT_FALSE(judge(other).empty());
    MatrixOutcome unsignedSuccess = servedOutcome();
    unsignedSuccess.answer.isSigned = false;
    EXPECT_FALSE(judge(unsignedSuccess).empty());
    MatrixOutcome swapped = servedOutcome();
    swapped.callId = "a";
    swapped.answer.callId = "b";
    EXPECT_FALSE(judge(swapped).empty());
    EXPECT_FALSE(judge(failedOutcome(503, 1)).empty());
    EXPECT_FALSE(judge(failedOutcome(502, 0)).empty());
    EXPECT_FALSE(judge(failedOutcome(504, 1)).empty());
    EXPECT_FALSE(judge(failedOutcome(404, 0)).empty());
    EXPECT_FALSE(judge(failedOutcome(401, 0)).empty());
}

// Guards against a judgement that reports what the rules allow.
TEST(TroubleMatrixJudgement, AllowsAnswersAndTrueRefusals)
{
    EXPECT_TRUE(judge(servedOutcome()).empty());
    EXPECT_TRUE(judge(failedOutcome(503, 0)).empty());
    EXPECT_TRUE(judge(failedOutcome(504, 1, absl::Seconds(3))).empty());
    MatrixOutcome resumed = servedOutcome(MatrixKind::ResumableStream);
    resumed.runs = 2;
    EXPECT_TRUE(judge(resumed).empty());
    MatrixOutcome crashed = failedOutcome(502, 1);
    crashed.hasMetCrash = true;
    EXPECT_TRUE(judge(crashed).empty());
}

// Guards against refusals that pass unseen where nothing is wrong with any server.
TEST(TroubleMatrixJudgement, AllowsNoRefusalBesideSoundServers)
{
    MatrixOutcome refused = failedOutcome(503, 0);
    refused.cell.trouble = MatrixTrouble::None;
    EXPECT_FALSE(judge(refused).empty());
    refused.cell.step = MatrixStep::ConnectionIdle;
    refused.cell.change = MatrixChange::RoutesMoved;
    EXPECT_TRUE(judge(refused).empty());
    refused.kind = MatrixKind::PublicAction;
    EXPECT_FALSE(judge(refused).empty());
}

// Guards against an excuse that covers requests which the change does not concern.
TEST(TroubleMatrixJudgement, ExcusesOnlyWhatTheChangeConcerns)
{
    MatrixOutcome outcome = failedOutcome(401, 0);
    outcome.cell.change = MatrixChange::KeyRevoked;
    EXPECT_FALSE(judge(outcome).empty());
    outcome.isNext = true;
    EXPECT_TRUE(judge(outcome).empty());
    outcome.kind = MatrixKind::PublicAction;
    EXPECT_FALSE(judge(outcome).empty());
    MatrixOutcome head = failedOutcome(431, 0);
    head.cell.change = MatrixChange::HeaderLimitShrinks;
    head.cell.step = MatrixStep::HeadHalfSent;
    EXPECT_FALSE(judge(head).empty());
    head.cell.step = MatrixStep::ConnectionIdle;
    EXPECT_TRUE(judge(head).empty());
    MatrixOutcome closed = failedOutcome(0, 0);
    closed.answer.isComplete = false;
    closed.answer.wasClosed = true;
    closed.cell.change = MatrixChange::PlannedStop;
    EXPECT_FALSE(judge(closed).empty());
    closed.cell.step = MatrixStep::ConnectionIdle;
    EXPECT_TRUE(judge(closed).empty());
    closed.runs = 1;
    EXPECT_FALSE(judge(closed).empty());
}

// Guards against cells that are never drawn, or that no request can be in.
TEST(TroubleMatrixCells, CoverEachStepWithPossibleKinds)
{
    Random random(7);
    absl::btree_set<std::string> names;
    for (int round = 0; round < 1600; ++round) {
        absl::btree_set<MatrixStep> steps;
        std::size_t longPrompts = 0;
        for (const MatrixCell &cell :
             drawCells(MatrixTrouble::None, MatrixChange::Storm, 2, random)) {
            EXPECT_TRUE(isPossible(cell.step, cell.kind)) << nameOf(cell);
            steps.insert(cell.step);
            longPrompts += cell.kind == MatrixKind::LongPrompt ? 1 : 0;
            names.insert(nameOf(cell));
        }
        EXPECT_EQ(steps.size(), kMatrixSteps.size());
        EXPECT_LE(longPrompts, kMaxLongPrompts);
    }
    // 7 steps with 6 kinds, 2 with the 3 kinds of streams, 1 with the 2 that may be resumed and 2
    // with a single kind, each with 4 positions.
    EXPECT_EQ(names.size(), (7U * 6U + 2U * 3U + 2U + 2U) * 4U);
}

TEST(TroubleMatrixCells, AreTheSameForTheSameSeed)
{
    Random first(3);
    Random second(3);
    EXPECT_EQ(drawCells(MatrixTrouble::None, MatrixChange::None, 2, first),
              drawCells(MatrixTrouble::None, MatrixChange::None, 2, second));
    EXPECT_EQ(drawChanges(4, first), drawChanges(4, second));
}

TEST(TroubleMatrixCells, DrawEachChangeOnce)
{
    Random random(5);
    const std::vector<MatrixChange> drawn = drawChanges(kMatrixChanges.size(), random);
    EXPECT_EQ(drawn.size(), kMatrixChanges.size() - 1);
    EXPECT_EQ(absl::btree_set<MatrixChange>(drawn.begin(), drawn.end()).size(), drawn.size());
}

} // namespace
} // namespace foxtailtally

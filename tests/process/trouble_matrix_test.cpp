#include "tests/process/trouble_matrix_gateway.h"

#include <absl/container/btree_map.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>
#include <cstdint>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace foxtailtally {

/** GoogleTest looks for this name. */
// NOLINTNEXTLINE(readability-identifier-naming)
static void PrintTo(MatrixTrouble trouble, std::ostream *out)
{
    *out << nameOf(trouble);
}

namespace {

/** The run by hand plays each trouble with each change at each step: 22 troubles x 24 changes x 12
 * steps = 6,336 situations of 1 or 2 kinds each, in 528 batches of up to 22 cells, some 3 s each;
 * with GTEST_TOTAL_SHARDS=2 two processes share them. */
constexpr std::size_t kKindsPerStep = 2;
/** Changes of each trouble in the seeded part; a batch takes some 4 s. */
constexpr std::size_t kDrawnChanges = 1;
/** Cells of one trouble that are played again alone. */
constexpr int kMaxReplays = 3;

std::string variable(const char *name)
{
    const char *value = std::getenv(name);
    return value ? value : "";
}

std::uint64_t seed()
{
    std::uint64_t value = 0;
    return absl::SimpleAtoi(variable("FOXTAILTALLY_MATRIX_SEED"), &value) ? value : 1;
}

bool isFull()
{
    return variable("FOXTAILTALLY_MATRIX") == "full";
}

struct Tally
{
    int played = 0;
    int failed = 0;
};

class TroubleMatrix : public testing::TestWithParam<MatrixTrouble>
{
protected:
    void SetUp() override
    {
        const bool hasProxies = GetParam() >= MatrixTrouble::LostAnswers300
            && GetParam() <= MatrixTrouble::LostAnswers1900;
        this->gateway = std::make_unique<MatrixGateway>(hasProxies);
        ASSERT_TRUE(this->gateway->start());
    }
    static void TearDownTestSuite()
    {
        std::cout << "trouble: cells played, failed\n";
        for (const auto &[trouble, tally] : tallies)
            std::cout << nameOf(trouble) << ": " << tally.played << ", " << tally.failed << '\n';
    }

    void play(const std::vector<MatrixCell> &cells)
    {
        for (const MatrixCellResult &result : this->gateway->play(cells)) {
            Tally &tally = tallies[GetParam()];
            ++tally.played;
            if (result.problems.empty())
                continue;
            ++tally.failed;
            this->report(result);
        }
    }
    /** Names the failing cell, and plays it alone, without its change and without its trouble. */
    void report(const MatrixCellResult &result)
    {
        std::string text = absl::StrCat(
            nameOf(result.cell), ": ", absl::StrJoin(result.problems, "; "),
            "\n  FOXTAILTALLY_MATRIX_SEED=", seed(),
            " FOXTAILTALLY_MATRIX_CHANGE=", nameOf(result.cell.change),
            " build/foxtailtally-tests --gtest_filter='TroubleMatrix.*/", nameOf(GetParam()), "'");
        if (this->replays++ < kMaxReplays) {
            MatrixCell withoutChange = result.cell;
            withoutChange.change = MatrixChange::None;
            MatrixCell withoutTrouble = result.cell;
            withoutTrouble.trouble = MatrixTrouble::None;
            absl::StrAppend(&text, "\n  alone: ", this->replay(result.cell),
                            "\n  without the change: ", this->replay(withoutChange),
                            "\n  without the trouble: ", this->replay(withoutTrouble));
        }
        ADD_FAILURE() << text;
    }
    std::string replay(const MatrixCell &cell)
    {
        const std::vector<std::string> problems = this->gateway->play({cell}).front().problems;
        return problems.empty() ? "passes" : absl::StrJoin(problems, "; ");
    }

    std::unique_ptr<MatrixGateway> gateway;
    int replays = 0;
    static inline absl::btree_map<MatrixTrouble, Tally> tallies;
};

// Guards against requests that end without an answer, run twice or are refused although they have
// run, when a change of the configuration or planned work meets a trouble that is no excuse.
TEST_P(TroubleMatrix, AnswersEachRequest)
{
    const std::uint64_t seedOfTrouble =
        (seed() * kMatrixTroubles.size() + static_cast<std::uint64_t>(GetParam()))
        * kMatrixChanges.size();
    Random random(seedOfTrouble);
    std::vector<MatrixChange> changes =
        drawChanges(isFull() ? kMatrixChanges.size() : kDrawnChanges, random);
    if (isFull())
        changes.push_back(MatrixChange::None);
    const std::string only = variable("FOXTAILTALLY_MATRIX_CHANGE");
    if (!only.empty()) {
        changes.assign(kMatrixChanges.begin(), kMatrixChanges.end());
        std::erase_if(changes, [&](MatrixChange change) { return nameOf(change) != only; });
    }
    for (const MatrixChange change : changes) {
        // Each batch has its own seed, so that it can be played without those before it.
        Random ofBatch(seedOfTrouble + static_cast<std::uint64_t>(change));
        this->play(drawCells(GetParam(), change, kKindsPerStep, ofBatch));
    }
}

// Guards against cells that are played without coming to their step, which would find nothing.
TEST(TroubleMatrixSteps, AreReached)
{
    MatrixGateway gateway(false);
    ASSERT_TRUE(gateway.start());
    Random random(seed());
    const std::vector<MatrixCell> cells =
        drawCells(MatrixTrouble::None, MatrixChange::None, kKindsPerStep, random);
    for (const MatrixCellResult &result : gateway.play(cells)) {
        SCOPED_TRACE(nameOf(result.cell));
        EXPECT_TRUE(result.problems.empty()) << absl::StrJoin(result.problems, "; ");
        ASSERT_FALSE(result.arrivals.empty());
        const absl::Duration first = result.arrivals.front() - result.changeAt;
        const absl::Duration last = result.arrivals.back() - result.changeAt;
        switch (result.cell.step) {
        case MatrixStep::AtServer:
        case MatrixStep::StreamRunning:
        case MatrixStep::StreamEnding:
            EXPECT_LT(first, absl::ZeroDuration());
            break;
        case MatrixStep::Resuming:
        case MatrixStep::BetweenAttempts:
            EXPECT_LT(first, absl::ZeroDuration());
            EXPECT_EQ(result.arrivals.size(), 2U);
            break;
        case MatrixStep::SecondAttempt:
            EXPECT_EQ(result.arrivals.size(), 2U);
            EXPECT_LT(last, absl::ZeroDuration());
            break;
        case MatrixStep::HeadHalfSent:
        case MatrixStep::BodyHalfSent:
        case MatrixStep::ChunkedBodyHalfSent:
        case MatrixStep::Reserving:
        case MatrixStep::PipelinedBehindAStream:
        case MatrixStep::ConnectionIdle:
            EXPECT_GT(first, absl::ZeroDuration());
            break;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(, TroubleMatrix, testing::ValuesIn(kMatrixTroubles),
                         [](const auto &test) { return std::string(nameOf(test.param)); });

} // namespace
} // namespace foxtailtally

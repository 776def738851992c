#include "servers/quarantine/unconfirmed_losses.h"

#include "core/random.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cstdint>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace foxtailtally {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(100);
const BackendServerId kServer("server-1");

ServerEntry entryOf(Incarnation incarnation)
{
    ServerEntry entry;
    entry.id = kServer;
    entry.incarnation = incarnation;
    entry.service = "engine";
    return entry;
}

UnconfirmedLoss lossOf(Incarnation incarnation, absl::Time silentSince, absl::Time lostAt)
{
    UnconfirmedLoss loss;
    loss.callId = "call";
    loss.server = kServer;
    loss.incarnation = incarnation;
    loss.silentSince = silentSince;
    loss.lostAt = lostAt;
    return loss;
}

/** The loss of a call on a dropped connection, at a server that is listed. */
class DroppedConnectionLoss : public testing::Test
{
protected:
    DroppedConnectionLoss()
    {
        this->directory.onEntry(entryOf(1), kNow);
        UnconfirmedLoss loss = lossOf(1, kNow, kNow);
        loss.wasDropped = true;
        this->losses.add(loss);
    }
    void expectVerdict(LossVerdict verdict, absl::Time now)
    {
        const std::vector<DecidedLoss> decided = this->losses.takeDecided(this->directory, now);
        ASSERT_EQ(decided.size(), 1U);
        EXPECT_EQ(decided.front().verdict, verdict);
    }

    const ServerKey key = serverKey(kServer, 1);
    UnconfirmedLosses losses;
    ServerDirectory directory;
};

// Guards against a crash that is taken for a dropped connection, since bytes that had arrived
// before the crash were read after it.
TEST_F(DroppedConnectionLoss, IsNotAcquittedByBytesOfCallsThatBeganBefore)
{
    this->losses.onHeard(this->key, kNow - absl::Seconds(1), kNow);
    this->losses.onRefused(this->key);
    this->expectVerdict(LossVerdict::Ended, kNow);
}

TEST_F(DroppedConnectionLoss, IsAcquittedByAConnectionThatIsAcceptedLater)
{
    this->losses.onHeard(this->key, kNow, kNow + absl::Milliseconds(1));
    this->expectVerdict(LossVerdict::Heard,
                        kNow + UnconfirmedLosses::kRegistrationDelay + absl::Milliseconds(1));
}

TEST_F(DroppedConnectionLoss, IsADeathIfTheNextConnectionIsRefused)
{
    this->losses.onRefused(this->key);
    this->expectVerdict(LossVerdict::Ended, kNow);
}

enum class Sign {
    /** A new connection is accepted. */
    Accepted,
    /** Bytes on a connection that was open before the silence. */
    OldBytes,
    /** Refused or reset. */
    Broken,
    Removed,
    /** The entry expired while the store was unavailable. */
    Lapsed,
    ListedAgain,
    NewIncarnation,
};

struct Observation
{
    Sign sign;
    int afterMs;
};

struct Case
{
    std::string name;
    std::vector<Observation> observations;
    LossVerdict verdict;
    /** When the verdict is reached; the verdicts are asked for every 250 ms. */
    int afterMs;
};

class LossOfACall : public testing::TestWithParam<Case>
{ };

void apply(UnconfirmedLosses &losses, ServerDirectory &directory, Sign sign, absl::Time now)
{
    const ServerKey key = serverKey(kServer, 1);
    switch (sign) {
    case Sign::Accepted:
        losses.onHeard(key, now, now);
        return;
    case Sign::OldBytes:
        losses.onHeard(key, kNow - absl::Seconds(5), now);
        return;
    case Sign::Broken:
        losses.onBroken(key);
        return;
    case Sign::Removed:
    case Sign::Lapsed:
        directory.onRemoved(kServer, sign == Sign::Lapsed, now);
        return;
    case Sign::ListedAgain:
        directory.onEntry(entryOf(1), now);
        return;
    case Sign::NewIncarnation:
        directory.onEntry(entryOf(2), now);
        return;
    }
}

// Guards against a server that counts as crashed while its process may go on, and against a crash
// that is missed.
TEST_P(LossOfACall, IsDecidedByWhatShowsThatTheProcessHasEnded)
{
    ServerDirectory directory;
    directory.onEntry(entryOf(1), kNow - absl::Hours(1));
    UnconfirmedLosses losses;
    ASSERT_TRUE(losses.add(lossOf(1, kNow - absl::Seconds(1), kNow)));
    std::vector<DecidedLoss> decided;
    std::size_t next = 0;
    int ms = 0;
    for (; ms <= 20000 && decided.empty(); ms += 250) {
        const std::vector<Observation> &observations = GetParam().observations;
        for (; next < observations.size() && observations[next].afterMs <= ms; ++next)
            apply(losses, directory, observations[next].sign,
                  kNow + absl::Milliseconds(observations[next].afterMs));
        directory.onTick(kNow + absl::Milliseconds(ms));
        decided = losses.takeDecided(directory, kNow + absl::Milliseconds(ms));
    }
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_EQ(decided.front().verdict, GetParam().verdict);
    EXPECT_EQ(ms - 250, GetParam().afterMs);
    EXPECT_EQ(losses.size(), 0U);
}

const std::vector<Case> kCases = {
    {"Nothing", {}, LossVerdict::Expired, 8000},
    {"Refused", {{Sign::Broken, 400}}, LossVerdict::Ended, 500},
    {"EntryRemoved", {{Sign::Removed, 3600}}, LossVerdict::Ended, 3750},
    {"NewIncarnation", {{Sign::NewIncarnation, 1200}}, LossVerdict::Ended, 1250},
    {"BytesOfTheSilentProcess", {{Sign::OldBytes, 600}}, LossVerdict::Heard, 750},
    {"AcceptedConnection", {{Sign::Accepted, 600}}, LossVerdict::Heard, 1500},
    {"AcceptedByTheNewIncarnation",
     {{Sign::Accepted, 1600}, {Sign::NewIncarnation, 2000}},
     LossVerdict::Ended,
     2000},
    {"OldBytesBeforeANewIncarnation",
     {{Sign::OldBytes, 600}, {Sign::NewIncarnation, 700}},
     LossVerdict::Heard,
     750},
    {"BrokenAfterItWasAccepted",
     {{Sign::Accepted, 600}, {Sign::Broken, 700}},
     LossVerdict::Heard,
     1500},
    {"RemovedAfterItWasAccepted",
     {{Sign::Accepted, 600}, {Sign::Removed, 700}},
     LossVerdict::Heard,
     1500},
    // The grace of 1.8 s of an entry that lapsed is no evidence; its end is.
    {"LapsedAndListedAgain",
     {{Sign::Lapsed, 1000}, {Sign::ListedAgain, 2700}},
     LossVerdict::Expired,
     8000},
    {"LapsedForGood", {{Sign::Lapsed, 1000}}, LossVerdict::Ended, 3000},
};

INSTANTIATE_TEST_SUITE_P(Cases, LossOfACall, testing::ValuesIn(kCases),
                         [](const auto &test) { return test.param.name; });

TEST(UnconfirmedLosses, KeepsABoundedNumber)
{
    ServerDirectory directory;
    directory.onEntry(entryOf(1), kNow);
    UnconfirmedLosses losses;
    for (std::size_t i = 0; i < UnconfirmedLosses::kMaxLosses; ++i)
        ASSERT_TRUE(losses.add(lossOf(1, kNow, kNow)));
    EXPECT_FALSE(losses.add(lossOf(1, kNow, kNow)));
    EXPECT_EQ(losses.takeDecided(directory, kNow + UnconfirmedLosses::kRetention).size(),
              UnconfirmedLosses::kMaxLosses);
    EXPECT_TRUE(losses.add(lossOf(1, kNow, kNow)));
}

/** Interval at which a gateway asks for the verdicts. */
constexpr int kTickMs = 250;
constexpr absl::Duration kMinRestartTime = absl::Seconds(1);
/** Together with a tick no longer than UnconfirmedLosses::kRegistrationDelay. */
const absl::Duration kListDelay =
    UnconfirmedLosses::kRegistrationDelay - absl::Milliseconds(kTickMs);
/** Time after its end for which the platform still lists a server. */
constexpr absl::Duration kListRemovalTime = absl::Milliseconds(3600);
/** Time within which live servers register again after an outage of the store. */
constexpr absl::Duration kRelistTime = absl::Milliseconds(1500);

/** A server with its network and its list entry, and a gateway that watches it. */
template <typename Losses>
class ServerWorld
{
public:
    ServerWorld() { this->directory.onEntry(entryOf(1), this->now); }

    /** Each step is an action and the time after it. Returns what was wrong; empty if nothing. */
    std::string play(const std::vector<std::uint32_t> &steps)
    {
        for (const std::uint32_t step : steps) {
            this->act(step % kActions);
            this->advance(absl::Milliseconds(1 + static_cast<int>(step / kActions % kTickMs)));
        }
        for (int i = 0; i < 60; ++i)
            this->advance(absl::Milliseconds(kTickMs));
        for (const Loss &loss : this->losses) {
            const bool isInTime = loss.evidenceAt
                <= loss.lostAt + UnconfirmedLosses::kRetention - absl::Milliseconds(kTickMs);
            if (loss.wasDead && isInTime && loss.deaths != 1)
                return "a crash was counted " + std::to_string(loss.deaths) + " times";
        }
        return this->violation;
    }

private:
    static constexpr std::uint32_t kActions = 12;

    struct Loss
    {
        Incarnation incarnation = 0;
        absl::Time lostAt;
        /** The process had ended when the call was lost. */
        bool wasDead = false;
        bool wasHeard = false;
        absl::Time evidenceAt = absl::InfiniteFuture();
        int deaths = 0;
    };

    bool isAlive() const { return this->endedAt == absl::InfiniteFuture(); }
    bool isReached() const { return this->isAlive() && !this->isCut; }
    ServerKey knownKey() const { return serverKey(kServer, this->known); }

    void act(std::uint32_t action)
    {
        switch (action) {
        case 2:
            this->isCut = !this->isCut;
            return;
        case 3:
        case 4:
            // A process that is heard and ends before it is listed cannot be told from the one that
            // was silent.
            if (this->known != this->running)
                return;
            if (this->isAlive())
                this->endedAt = this->now;
            this->isHostDark = action == 4;
            return;
        case 5:
            this->restart();
            return;
        case 6:
        case 7:
            this->probe();
            return;
        case 8:
            if (this->isReached() && this->connectedTo == this->running)
                this->hear(this->knownKey(), this->connectedAt);
            return;
        case 9:
            this->loseCall();
            return;
        case 10:
            if (!this->isAlive() && this->now - this->endedAt >= kListRemovalTime)
                this->directory.onRemoved(kServer, false, this->now);
            return;
        case 11:
            this->directory.onRemoved(kServer, true, this->now);
            if (this->isAlive())
                this->listedBy = std::min(this->listedBy, this->now + kRelistTime);
            return;
        default:
            return;
        }
    }
    void restart()
    {
        if (this->isAlive() || this->now - this->endedAt < kMinRestartTime)
            return;
        this->endedAt = absl::InfiniteFuture();
        ++this->running;
        this->isHostDark = false;
        this->listedBy = this->now + kListDelay;
    }
    void probe()
    {
        if (this->isReached()) {
            this->hear(this->knownKey(), this->now);
            // A server rejects calls that are meant for another incarnation.
            if (this->known == this->running) {
                this->connectedAt = this->now;
                this->connectedTo = this->running;
            }
        } else if (!this->isAlive() && !this->isHostDark && !this->isCut) {
            this->table.onBroken(this->knownKey());
            for (Loss &loss : this->losses) {
                if (loss.incarnation == this->known && !this->isUncertain(loss))
                    loss.evidenceAt = std::min(loss.evidenceAt, this->now);
            }
        }
    }
    /** A newer process may have been heard already. */
    bool isUncertain(const Loss &loss) const { return loss.incarnation != this->running; }
    void hear(ServerKey key, absl::Time connectedAt)
    {
        this->heardAt = this->now;
        this->table.onHeard(key, connectedAt, this->now);
        for (Loss &loss : this->losses)
            loss.wasHeard = loss.wasHeard || loss.incarnation == this->running;
    }
    void loseCall()
    {
        if (this->isReached() || this->known != this->running)
            return;
        Loss loss;
        loss.incarnation = this->known;
        loss.lostAt = this->now;
        loss.wasDead = !this->isAlive();
        UnconfirmedLoss kept = lossOf(this->known, this->heardAt, this->now);
        kept.callId = absl::StrCat(this->losses.size());
        this->losses.push_back(loss);
        this->table.add(std::move(kept));
    }
    void advance(absl::Duration time)
    {
        const absl::Time until = this->now + time;
        if (this->listedBy <= until && this->isAlive()) {
            this->now = this->listedBy;
            this->known = this->running;
            this->directory.onEntry(entryOf(this->running), this->now);
            this->listedBy = absl::InfiniteFuture();
        }
        this->now = until;
        this->directory.onTick(this->now);
        const ServerDirectory::Server *listed = this->directory.find(kServer);
        for (Loss &loss : this->losses) {
            const bool isGone = !listed && !this->isUncertain(loss);
            if (isGone || (listed && listed->entry.incarnation > loss.incarnation))
                loss.evidenceAt = std::min(loss.evidenceAt, this->now);
        }
        for (const DecidedLoss &decided : this->table.takeDecided(this->directory, this->now)) {
            Loss &loss = this->losses.at(std::stoul(decided.loss.callId));
            if (decided.verdict != LossVerdict::Ended)
                continue;
            ++loss.deaths;
            if (loss.wasHeard)
                this->violation = "a server that was heard again counts as crashed";
            if (loss.incarnation == this->running && this->isAlive())
                this->violation = "a server that runs counts as crashed";
        }
    }

    Losses table;
    ServerDirectory directory;
    std::vector<Loss> losses;
    std::string violation;
    absl::Time now = kNow;
    Incarnation running = 1;
    /** Incarnation that the gateway knows. */
    Incarnation known = 1;
    absl::Time endedAt = absl::InfiniteFuture();
    bool isHostDark = false;
    bool isCut = false;
    absl::Time heardAt = kNow;
    /** When the server registers. */
    absl::Time listedBy = absl::InfiniteFuture();
    /** The last connection that was established. */
    absl::Time connectedAt = kNow - absl::Seconds(1);
    Incarnation connectedTo = 1;
};

/** The former rule: each loss is a death. */
class EachLossIsADeath
{
public:
    bool add(UnconfirmedLoss loss)
    {
        this->losses.push_back({std::move(loss), LossVerdict::Ended});
        return true;
    }
    void onHeard(ServerKey, absl::Time, absl::Time) { }
    void onBroken(ServerKey) { }
    std::vector<DecidedLoss> takeDecided(const ServerDirectory &, absl::Time)
    {
        return std::exchange(this->losses, {});
    }

private:
    std::vector<DecidedLoss> losses;
};

/** Takes each accepted connection for one of the process that was silent. */
class FirstConnectionExcuses : public UnconfirmedLosses
{
public:
    void onHeard(ServerKey server, absl::Time, absl::Time now)
    {
        this->UnconfirmedLosses::onHeard(server, absl::InfinitePast(), now);
    }
};

/** Does not notice that the server is heard. */
class NothingExcuses : public UnconfirmedLosses
{
public:
    void onHeard(ServerKey, absl::Time, absl::Time) { }
};

using Steps = std::vector<std::uint32_t>;

// Guards against sound servers that count as crashed, in any order of silence, resets, restarts,
// changes of the list and probes, and against crashes that are missed or counted twice.
RC_GTEST_PROP(UnconfirmedLosses, CountsEachEndOnceAndNoServerThatIsHeardAgain, (const Steps &seeds))
{
    const auto more = *rc::gen::container<Steps>(100, rc::gen::arbitrary<std::uint32_t>());
    Steps steps = seeds;
    steps.insert(steps.end(), more.begin(), more.end());
    RC_ASSERT(ServerWorld<UnconfirmedLosses>().play(steps) == "");
}

/** Whether random steps show that @p Losses is wrong. */
template <typename Losses>
bool isCaught()
{
    constexpr int kTrials = 1000;
    constexpr std::size_t kSteps = 100;
    Random random(1);
    for (int trial = 0; trial < kTrials; ++trial) {
        Steps steps(kSteps);
        for (std::uint32_t &step : steps)
            step = static_cast<std::uint32_t>(random.next());
        if (!ServerWorld<Losses>().play(steps).empty())
            return true;
    }
    return false;
}

TEST(UnconfirmedLosses, FaultyVariantsAreCaught)
{
    EXPECT_TRUE(isCaught<EachLossIsADeath>());
    EXPECT_TRUE(isCaught<FirstConnectionExcuses>());
    EXPECT_TRUE(isCaught<NothingExcuses>());
    EXPECT_FALSE(isCaught<UnconfirmedLosses>());
}

} // namespace
} // namespace foxtailtally

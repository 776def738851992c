#include "servers/catalog/server_directory.h"

#include <absl/container/btree_map.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <utility>

namespace foxtailtally {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

ServerEntry entry(const std::string &id, Incarnation incarnation = 1, std::int64_t sequence = 1)
{
    ServerEntry result;
    result.id = BackendServerId(id);
    result.incarnation = incarnation;
    result.sequence = sequence;
    result.service = "desk";
    result.address = "127.0.0.1:80";
    result.domain = FailureDomainId("east");
    return result;
}

ServerEntry draining(ServerEntry entry)
{
    entry.leaving = true;
    ++entry.sequence;
    return entry;
}

void restore(ServerDirectory &directory, const std::vector<ServerEntry> &copy, absl::Time now)
{
    directory.onRestored(now);
    directory.onList(copy, false, now);
}

bool isUsable(const ServerDirectory &directory, absl::Time now)
{
    return !directory.usable("desk", now).empty();
}

// The copy listed a draining server as ready, and it got calls.
TEST(RestoredDirectory, KeepsADrainingServerOutInItsIncarnation)
{
    ServerDirectory directory;
    directory.onEntry(entry("a"), kStart);
    directory.onEntry(draining(entry("a")), kStart);
    restore(directory, {entry("a")}, kStart);
    EXPECT_FALSE(isUsable(directory, kStart + absl::Minutes(1)));
    directory.onEntry(entry("a"), kStart);
    EXPECT_FALSE(isUsable(directory, kStart + absl::Minutes(1)));
    directory.onEntry(entry("a", 2), kStart);
    EXPECT_TRUE(isUsable(directory, kStart));
}

// The same for one whose entry is gone already, also after its entry has come and gone again.
TEST(RestoredDirectory, KeepsAServerOutThatDrainedAndLeft)
{
    ServerDirectory directory;
    directory.onEntry(draining(entry("a")), kStart);
    directory.onRemoved(BackendServerId("a"), false, kStart);
    for (int second = 1; second < 4; ++second) {
        const absl::Time now = kStart + absl::Seconds(second);
        restore(directory, {entry("a")}, now);
        EXPECT_FALSE(isUsable(directory, now + absl::Minutes(1)));
        directory.onRemoved(BackendServerId("a"), false, now);
    }
    directory.onEntry(entry("a", 2), kStart + absl::Seconds(4));
    EXPECT_TRUE(isUsable(directory, kStart + absl::Seconds(4)));
}

// A server that left without draining is silent, so the store removes the entry of the copy again;
// one that is still listed later has come back.
TEST(RestoredDirectory, KeepsAServerOutThatWasRemovedUntilItWouldBeMissed)
{
    ServerDirectory directory;
    directory.onEntry(entry("a"), kStart);
    directory.onRemoved(BackendServerId("a"), false, kStart);
    const absl::Time restored = kStart + absl::Seconds(1);
    restore(directory, {entry("a")}, restored);
    EXPECT_FALSE(isUsable(directory, restored));
    EXPECT_TRUE(isUsable(directory, restored + ServerDirectory::kRemovedGrace));
    directory.onRemoved(BackendServerId("a"), true, restored);
    EXPECT_FALSE(isUsable(directory, restored + ServerDirectory::kRemovedGrace));
}

TEST(RestoredDirectory, TakesAServerBackThatHasWrittenSinceItWasRemoved)
{
    ServerDirectory directory;
    directory.onEntry(entry("a", 1, 4), kStart);
    directory.onRemoved(BackendServerId("a"), false, kStart);
    restore(directory, {entry("a", 1, 5)}, kStart + absl::Seconds(1));
    EXPECT_TRUE(isUsable(directory, kStart + absl::Seconds(1)));
}

// A server whose clock had gone back before it started again was ignored for good after a restore.
TEST(RestoredDirectory, TakesAnyNewIncarnationOnceTheRestoreIsOver)
{
    ServerDirectory directory;
    directory.onEntry(entry("a", 5), kStart);
    restore(directory, {entry("a", 5)}, kStart);
    const absl::Time later = kStart + DepartedServers::kRetention + absl::Seconds(1);
    directory.onTick(later);
    directory.onEntry(entry("a", 3), later);
    EXPECT_TRUE(directory.isUsable(BackendServerId("a"), 3, later));
}

// The copy had the entry from before a restart, with which the new incarnation was lost.
TEST(RestoredDirectory, DoesNotGoBackToAnOlderIncarnation)
{
    ServerDirectory directory;
    directory.onEntry(entry("a", 2), kStart);
    restore(directory, {entry("a", 1, 9)}, kStart);
    EXPECT_TRUE(directory.isUsable(BackendServerId("a"), 2, kStart));
    // The new incarnation has not registered again in time.
    const absl::Time over = kStart + directory.lapseGrace() + absl::Milliseconds(1);
    directory.onTick(over);
    EXPECT_FALSE(isUsable(directory, over));
    directory.onList({entry("a", 1, 9)}, false, over);
    EXPECT_FALSE(isUsable(directory, over));
    directory.onEntry(entry("a", 2), over);
    EXPECT_TRUE(directory.isUsable(BackendServerId("a"), 2, over));
}

// Without the grace the servers that registered after the copy would be lost at once.
TEST(RestoredDirectory, KeepsServersThatTheCopyLacksForTheGrace)
{
    ServerDirectory directory;
    directory.onEntry(entry("a"), kStart);
    restore(directory, {}, kStart);
    EXPECT_TRUE(isUsable(directory, kStart + directory.lapseGrace()));
    const absl::Time over = kStart + directory.lapseGrace() + absl::Milliseconds(1);
    EXPECT_FALSE(isUsable(directory, over));
}

TEST(RestoredDirectory, StartsTheGraceAgainWithASecondRestore)
{
    ServerDirectory directory;
    directory.onEntry(entry("a"), kStart);
    restore(directory, {}, kStart);
    const absl::Time second = kStart + absl::Seconds(1);
    restore(directory, {}, second);
    EXPECT_TRUE(isUsable(directory, second + directory.lapseGrace()));
}

TEST(RestoredDirectory, ForgetsDepartedServersAfterAWhile)
{
    ServerDirectory directory;
    directory.onEntry(draining(entry("a")), kStart);
    directory.onRemoved(BackendServerId("a"), false, kStart);
    directory.onTick(kStart + DepartedServers::kRetention);
    restore(directory, {entry("a")}, kStart + DepartedServers::kRetention);
    EXPECT_TRUE(isUsable(directory, kStart + DepartedServers::kRetention));
}

// While no store is restored, the platform's list decides as it always did.
TEST(RestoredDirectory, ChangesNothingBeforeTheFirstRestore)
{
    ServerDirectory directory;
    directory.onEntry(draining(entry("a", 2, 7)), kStart);
    directory.onEntry(entry("a", 2, 3), kStart);
    EXPECT_TRUE(directory.isUsable(BackendServerId("a"), 2, kStart));
    directory.onRemoved(BackendServerId("a"), false, kStart);
    directory.onEntry(entry("a", 1, 1), kStart);
    EXPECT_TRUE(directory.isUsable(BackendServerId("a"), 1, kStart));
}

/** One server as it is, and its entry in the store. */
struct ModelServer
{
    /** 0 before its first start. */
    Incarnation incarnation = 0;
    std::int64_t sequence = 0;
    bool isDraining = false;
    bool isGone = true;
    std::optional<ServerEntry> stored;
};

/** Random servers, whose entries are restored to random earlier states. */
class DirectoryModel
{
public:
    void step()
    {
        this->now += absl::Milliseconds(*rc::gen::inRange(0, 800));
        this->directory.onTick(this->now);
        const std::string id(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
        ModelServer &server = this->servers[id];
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            server = {server.incarnation + 1, 0, false, false, server.stored};
            this->write(id, server);
            break;
        case 1:
            server.isDraining = server.isDraining || !server.isGone;
            if (!server.isGone)
                this->write(id, server);
            break;
        case 2:
            server.isGone = true;
            this->remove(id, server);
            break;
        case 3:
            this->restore();
            break;
        case 4:
            this->directory.onList(this->listed(), false, this->now);
            break;
        default:
            if (!server.isGone)
                this->write(id, server);
        }
        this->check();
        this->copies.push_back({this->now, this->state()});
    }

private:
    using State = absl::btree_map<std::string, std::optional<ServerEntry>>;
    /** Age of the oldest copy; with the recovery it is less than DepartedServers::kRetention. */
    static constexpr absl::Duration kMaxCopyAge = absl::Seconds(40);

    void check() const
    {
        for (const auto &[id, server] : this->servers) {
            const ServerDirectory::Server *found = this->directory.find(BackendServerId(id));
            const bool isUsed = found && this->directory.mayGetWork(*found, this->now);
            const bool hasLeft = server.isGone || server.isDraining;
            const bool isCurrent = !isUsed || found->entry.incarnation == server.incarnation;
            RC_ASSERT(isCurrent);
            RC_ASSERT(isUsed != hasLeft);
        }
    }
    void write(const std::string &id, ModelServer &server)
    {
        server.stored = entry(id, server.incarnation, ++server.sequence);
        server.stored->leaving = server.isDraining;
        this->directory.onEntry(*server.stored, this->now);
    }
    void remove(const std::string &id, ModelServer &server)
    {
        if (std::exchange(server.stored, std::nullopt))
            this->directory.onRemoved(BackendServerId(id), false, this->now);
    }
    void restore()
    {
        std::erase_if(this->copies,
                      [this](const auto &copy) { return this->now - copy.first > kMaxCopyAge; });
        State copy;
        if (!this->copies.empty())
            copy = this->copies[*rc::gen::inRange<std::size_t>(0, this->copies.size())].second;
        for (auto &[id, server] : this->servers)
            server.stored = copy.contains(id) ? copy.at(id) : std::nullopt;
        this->directory.onRestored(this->now);
        this->directory.onList(this->listed(), *rc::gen::arbitrary<bool>(), this->now);
        this->check();
        // Live servers write again within the grace; the entries of the others are removed.
        this->now += absl::Milliseconds(*rc::gen::inRange(0, 1700));
        this->directory.onTick(this->now);
        this->check();
        // Some restores come before anything has been written again.
        if (*rc::gen::inRange(0, 4) == 0)
            return this->restore();
        for (auto &[id, server] : this->servers) {
            if (server.isGone)
                this->remove(id, server);
            else
                this->write(id, server);
        }
    }
    std::vector<ServerEntry> listed() const
    {
        std::vector<ServerEntry> result;
        for (const auto &[id, server] : this->servers) {
            if (server.stored)
                result.push_back(*server.stored);
        }
        return result;
    }
    State state() const
    {
        State result;
        for (const auto &[id, server] : this->servers)
            result[id] = server.stored;
        return result;
    }

    ServerDirectory directory;
    absl::Time now = kStart;
    absl::btree_map<std::string, ModelServer> servers;
    std::vector<std::pair<absl::Time, State>> copies;
};

RC_GTEST_PROP(RestoredDirectory, GivesNoWorkToServersThatLeftAndSomeToThoseThatAreReady, ())
{
    DirectoryModel model;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
        model.step();
}

} // namespace
} // namespace foxtailtally

#include "core/random.h"
#include "servers/configuration/change_set.h"
#include "servers/configuration/publisher.h"
#include "tests/model_store.h"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>

namespace foxtailtally {

namespace {

const std::string kKey = "notes/current";

struct Operator
{
    std::string name;
    std::unique_ptr<Publisher> publisher;
    std::uint64_t number = 0;
};

/**
 * Lets several operators publish at the same time to a faulty store; returns the first wrong
 * result, or an empty text. With @p noReadBack the harness reports a write without an answer as a
 * success.
 */
std::string race(std::uint64_t seed, int operators, const ModelStore::Faults &faults,
                 bool noReadBack)
{
    Random random(seed);
    ModelStore store;
    ReleaseNote base;
    absl::Time now = absl::FromUnixSeconds(1000);
    for (int round = 0; round < 3; ++round) {
        store.faults = faults;
        const std::uint64_t version = store.objects[kKey].version;
        if (version == 0)
            store.objects.erase(kKey);
        std::vector<Operator> all;
        for (int index = 0; index < operators; ++index) {
            Operator entry;
            entry.name = "operator " + std::to_string(index);
            const std::string id = std::to_string(round) + "-" + std::to_string(index);
            ChangeSet changes;
            changes.author = entry.name;
            DocumentProblems problems;
            const auto note = changes.applyTo(base, now, id, problems);
            entry.number = note->number;
            entry.publisher = std::make_unique<Publisher>(
                kKey, version, Publication {entry.number, entry.name, id}, note->serialize());
            all.push_back(std::move(entry));
        }
        const auto submit = [&](std::uint64_t index, const std::vector<StoreCall> &calls) {
            for (const StoreCall &call : calls)
                store.submit(index, call, now, random);
        };
        for (std::size_t index = 0; index < all.size(); ++index)
            submit(index, all[index].publisher->start(now));
        // Longer than the publishers' time-out and the latest effect of a call on the store.
        for (const absl::Time end = now + kPublishTimeout + absl::Seconds(3); now < end;
             now += absl::Milliseconds(5)) {
            for (auto &delivery : store.run(now)) {
                if (noReadBack && delivery.reply.outcome == StoreOutcome::Lost)
                    delivery.reply.outcome = StoreOutcome::Ok;
                submit(delivery.caller,
                       all[delivery.caller].publisher->onStoreReply(delivery.reply, now));
            }
            for (std::size_t index = 0; index < all.size(); ++index)
                submit(index, all[index].publisher->onTick(now));
        }
        const auto object = store.objects.find(kKey);
        const PublicationHistory history =
            object == store.objects.end() ? PublicationHistory {} : historyOf(object->second.value);
        const Publication *actual = history.find(all.front().number);
        int won = 0;
        bool isOpen = false;
        for (const Operator &entry : all) {
            if (!entry.publisher->result())
                return "no result within kPublishTimeout";
            const PublishResult &result = *entry.publisher->result();
            const bool isActual = actual != nullptr && actual->author == entry.name;
            if (!result.error && (!isActual || ++won > 1))
                return "a publisher that lost was told that it won";
            if (result.error == Error::DocumentConflict
                && (actual == nullptr || isActual || !(result.winner == *actual)))
                return "conflict without the winner's name";
            if (result.error == Error::StoreUnavailable && isActual)
                return "published, but reported as not published";
            isOpen = isOpen || result.error == Error::Timeout;
        }
        if (actual != nullptr && won == 0 && !isOpen)
            return "published, but no publisher reported success";
        if (faults.unavailable + faults.lostAfter + faults.lostBefore + faults.lostLate == 0
            && won != 1)
            return "no winner without faults";
        if (actual == nullptr)
            continue;
        DocumentProblems problems;
        base = ReleaseNote::parse(object->second.value, problems).value();
    }
    return {};
}

} // namespace

// Guards against two operators who both believe that their release note was accepted, and against a
// conflict that names the wrong winner or none.
TEST(PublisherTest, OneOfSeveralRacingOperatorsWinsAndOthersLearnItsName)
{
    EXPECT_TRUE(rc::check("race", [](std::uint64_t seed) {
        const int operators = *rc::gen::inRange(1, 5);
        ModelStore::Faults faults;
        if (*rc::gen::arbitrary<bool>())
            faults = {
                *rc::gen::inRange<std::uint64_t>(0, 30), *rc::gen::inRange<std::uint64_t>(0, 25),
                *rc::gen::inRange<std::uint64_t>(0, 20), *rc::gen::inRange<std::uint64_t>(0, 20)};
        const std::string problem = race(seed, operators, faults, false);
        RC_ASSERT(problem == std::string());
    }));
}

// Shows that the checker above sees a publisher that does not read back.
TEST(PublisherTest, CheckerSeesMissingReadBack)
{
    std::string problem;
    for (std::uint64_t seed = 0; seed < 50 && problem.empty(); ++seed)
        problem = race(seed, 2, {0, 20, 20, 20}, true);
    EXPECT_EQ(problem, "a publisher that lost was told that it won");
}

} // namespace foxtailtally

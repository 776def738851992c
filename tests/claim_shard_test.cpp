#include "core/hash.h"
#include "core/random.h"
#include "servers/claims/claim_keys.h"
#include "servers/claims/claim_shard.h"
#include "tests/model_store.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>

namespace foxtailtally {

namespace {

/** Faults injected into the harness to show that the property can fail. */
enum class ClaimFault {
    None,
    /** A write whose reply is lost counts as successful. */
    NoReadBack,
    /** The action is dispatched when it is submitted, before its claim is in the log. */
    DispatchBeforeClaim,
};

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr std::size_t kInstances = 3;

/** Model of a service that counts the runs of each key. */
struct ModelService
{
    struct Key
    {
        int runs = 0;
        std::uint64_t highestFence = 0;
        /** Whether an answer has been sent to a caller. */
        bool isAnswered = false;
        std::string answer;
    };

    std::map<std::string, Key> keys;
    /** Submissions that the service has run. */
    std::set<std::string> ranSubmissions;
};

/** Several instances of the real shard, a faulty store, and services that count runs. */
class ClaimModel
{
public:
    ClaimModel(std::uint64_t seed, ClaimFault fault)
        : fault(fault)
        , random(seed)
    {
        for (std::size_t index = 0; index < kInstances; ++index)
            this->start(index);
    }

    void apply(std::uint16_t event)
    {
        const std::size_t index = (event >> 4) % kInstances;
        switch (event % 32) {
        case 0:
            this->start(index);
            break;
        case 1:
        case 2:
            this->nodes[index].pausedUntil =
                this->now + absl::Milliseconds(100 * this->random.below(150));
            break;
        case 3:
        case 4:
            this->store.isUp = !this->store.isUp;
            break;
        case 5:
        case 6:
            this->store.faults = {this->random.below(10), this->random.below(25),
                                  this->random.below(25), this->random.below(25)};
            break;
        case 7:
            this->store.faults = {};
            this->store.isUp = true;
            break;
        case 8:
            for (int filler = 0; filler < 40; ++filler)
                this->submit(index, "fill-" + std::to_string(this->submissions), 0);
            break;
        case 9:
        case 10:
        case 11:
        case 12:
            this->run(absl::Seconds(this->random.below(12)));
            break;
        default:
            this->submit(index, "key-" + std::to_string((event >> 8) % 4), (event >> 12) % 8 == 0);
        }
        this->run(absl::Milliseconds(this->random.below(400)));
    }

    /** Ends all faults and checks that every waiting request gets its answer. */
    bool settles()
    {
        this->store.faults = {};
        this->store.isUp = true;
        for (Node &node : this->nodes)
            node.pausedUntil = this->now;
        // Deadlines are at most 9 s away; the maximum backoff is 5 s.
        this->run(absl::Seconds(20));
        for (const Node &node : this->nodes)
            if (node.shard->waitingCount() != 0)
                return false;
        // A new key is granted by every instance.
        for (std::size_t index = 0; index < kInstances; ++index)
            this->submit(index, "last-" + std::to_string(index), 0);
        this->run(absl::Seconds(9));
        for (std::size_t index = 0; index < kInstances; ++index)
            if (!this->grantedKeys.contains("last-" + std::to_string(index)))
                return false;
        return true;
    }

    const std::string &violation() const { return this->firstViolation; }

private:
    struct Submission
    {
        std::string name;
        std::string key;
        bool checksFence = false;
        absl::Time deadline;
    };

    struct Node
    {
        std::unique_ptr<ClaimShard> shard;
        std::uint64_t incarnation = 0;
        absl::Time pausedUntil = absl::InfinitePast();
        std::vector<StoreReply> replies;
        std::map<std::string, Submission> open;
        std::map<std::uint64_t, std::pair<Submission, std::string>> unrecorded;
        std::map<std::uint64_t, bool> writeTokens;
    };

    /** A dispatched action in transit to the service, or its answer in transit back. */
    struct Dispatch
    {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        Submission submission;
        ClaimGranted grant;
        bool isAnswer = false;
        OutcomeReport report;
    };

    void fail(const std::string &text)
    {
        if (this->firstViolation.empty())
            this->firstViolation = text;
    }

    absl::Time wallTime(std::size_t index) const
    {
        // Instances' clocks differ by up to 2 s.
        return this->now + absl::Seconds(static_cast<std::int64_t>(index) - 1);
    }

    void start(std::size_t index)
    {
        Node &node = this->nodes[index];
        const std::uint64_t incarnation = ++this->lastIncarnation;
        node = Node();
        node.incarnation = incarnation;
        node.shard = std::make_unique<ClaimShard>(
            ClaimSettingsBuilder()
                .setSelf(InstanceId("entry-" + std::to_string(index)), incarnation)
                // The maximum difference between the clocks of this model's instances.
                .setDeadlineMargin(absl::Seconds(2))
                .build()
                .value());
    }

    void submit(std::size_t index, const std::string &key, bool isOtherBody)
    {
        Node &node = this->nodes[index];
        if (this->now < node.pausedUntil)
            return;
        Submission submission;
        submission.name = "s" + std::to_string(++this->submissions);
        submission.key = key;
        submission.checksFence =
            this->fault != ClaimFault::DispatchBeforeClaim && (key.back() - '0') % 2 == 0;
        submission.deadline = this->now + absl::Milliseconds(300 + this->random.below(8000));
        ClaimRequest request;
        request.request = RequestId(submission.name);
        request.customer = CustomerId("customer");
        request.key = "1000-" + key;
        request.body = fingerprintOf(isOtherBody ? "other" : "body");
        request.checksFence = submission.checksFence;
        request.deadline = submission.deadline;
        request.receivedAt = this->wallTime(index);
        node.open[submission.name] = submission;
        if (this->fault == ClaimFault::DispatchBeforeClaim && !isOtherBody)
            this->dispatch(index, submission, {});
        this->executeActions(index, node.shard->claim(std::move(request), this->now));
    }

    void run(absl::Duration duration)
    {
        for (const absl::Time end = this->now + duration; this->now < end;) {
            this->now += kStep;
            for (auto &delivery : this->store.run(this->now))
                this->deliver(std::move(delivery));
            while (!this->dispatches.empty() && this->dispatches.begin()->first <= this->now) {
                const Dispatch due = this->dispatches.begin()->second;
                this->dispatches.erase(this->dispatches.begin());
                due.isAnswer ? this->answer(due) : this->execute(due);
            }
            for (std::size_t index = 0; index < kInstances; ++index)
                this->tick(index);
        }
    }

    void deliver(ModelStore::Delivery delivery)
    {
        for (Node &node : this->nodes)
            if (node.incarnation == delivery.caller)
                node.replies.push_back(std::move(delivery.reply));
    }

    void tick(std::size_t index)
    {
        Node &node = this->nodes[index];
        if (this->now < node.pausedUntil)
            return;
        std::vector<StoreReply> replies;
        replies.swap(node.replies);
        for (StoreReply &reply : replies) {
            if (this->fault == ClaimFault::NoReadBack && reply.outcome == StoreOutcome::Lost
                && node.writeTokens.contains(reply.token))
                reply.outcome = StoreOutcome::Ok;
            this->executeActions(index, node.shard->onStoreReply(reply, this->now));
        }
        if (this->now >= node.shard->nextTickAt())
            this->executeActions(index, node.shard->onTick(this->now));
    }

    void executeActions(std::size_t index, const ClaimActions &actions)
    {
        Node &node = this->nodes[index];
        for (const ClaimAction &action : actions) {
            if (const auto *write = std::get_if<StoreWrite>(&action)) {
                node.writeTokens[write->token] = true;
                if (write->value.size() > kMaxSegmentBytes)
                    this->fail("segment too large");
                this->store.submit(node.incarnation, *write, this->now, this->random);
            } else if (const auto *read = std::get_if<StoreRead>(&action)) {
                this->store.submit(node.incarnation, *read, this->now, this->random);
            } else if (const auto *list = std::get_if<StoreList>(&action)) {
                this->store.submit(node.incarnation, *list, this->now, this->random);
            } else if (const auto *grant = std::get_if<ClaimGranted>(&action)) {
                this->granted(index, *grant);
            } else if (const auto *refused = std::get_if<ClaimRefused>(&action)) {
                this->refused(node, *refused);
            } else if (const auto *replay = std::get_if<ClaimReplay>(&action)) {
                const Submission submission = this->takeSubmission(node, replay->request.str());
                this->recordAnswer(submission.key, replay->answer);
            } else {
                this->recorded(node, std::get<ClaimRecorded>(action));
            }
        }
    }

    Submission takeSubmission(Node &node, const std::string &name)
    {
        const auto found = node.open.find(name);
        if (found == node.open.end()) {
            this->fail("second answer for a request");
            return {};
        }
        Submission submission = found->second;
        node.open.erase(found);
        return submission;
    }

    void granted(std::size_t index, const ClaimGranted &grant)
    {
        const Submission submission = this->takeSubmission(this->nodes[index], grant.request.str());
        this->grantedKeys.insert(submission.key);
        if (!this->fences.insert(grant.fence).second && this->fault == ClaimFault::None)
            this->fail("fence granted twice");
        if (this->fault != ClaimFault::DispatchBeforeClaim)
            this->dispatch(index, submission, grant);
    }

    void refused(Node &node, const ClaimRefused &refused)
    {
        const Submission submission = this->takeSubmission(node, refused.request.str());
        if (!refused.refusal.notRun)
            return;
        this->refusedNotRun.insert(submission.name);
        if (this->service.ranSubmissions.contains(submission.name))
            this->fail("request ran and was refused as not run");
    }

    void dispatch(std::size_t index, const Submission &submission, const ClaimGranted &grant)
    {
        Dispatch dispatch {index, this->nodes[index].incarnation, submission, grant, false, {}};
        dispatch.report = {grant.key, grant.attempt, grant.fence, AttemptOutcome::Done, "", {}};
        if (this->now >= submission.deadline || this->random.below(10) == 0) {
            dispatch.isAnswer = true;
            dispatch.report.outcome = AttemptOutcome::NotRun;
            this->dispatches.emplace(this->now + kStep, dispatch);
            return;
        }
        // The network may delay the action beyond the request's deadline.
        const std::uint64_t bound = this->random.below(8) == 0 ? 12000 : 200;
        this->dispatches.emplace(this->now + absl::Milliseconds(this->random.below(bound)),
                                 dispatch);
    }

    void execute(const Dispatch &dispatch)
    {
        const Submission &submission = dispatch.submission;
        ModelService::Key &key = this->service.keys[submission.key];
        Dispatch back = dispatch;
        back.isAnswer = true;
        if (submission.checksFence && dispatch.grant.fence < key.highestFence) {
            back.report.outcome = AttemptOutcome::Unknown;
        } else {
            if (!submission.checksFence && key.runs > 0)
                this->fail("second run of a key");
            if (submission.checksFence && dispatch.grant.fence == key.highestFence)
                this->fail("two runs with one fence");
            if (submission.checksFence && key.isAnswered)
                this->fail("run after the key's answer was given");
            if (this->refusedNotRun.contains(submission.name))
                this->fail("request was refused as not run and ran");
            key.highestFence = dispatch.grant.fence;
            ++key.runs;
            this->service.ranSubmissions.insert(submission.name);
            back.report.answer = "run of " + submission.name;
            if (submission.key.starts_with("fill"))
                back.report.answer.append(1800, 'x');
        }
        if (this->random.below(6) == 0)
            back.report.outcome = AttemptOutcome::Unknown;
        this->dispatches.emplace(this->now + absl::Milliseconds(this->random.below(300)), back);
    }

    void answer(Dispatch dispatch)
    {
        Node &node = this->nodes[dispatch.node];
        if (node.incarnation != dispatch.incarnation
            || this->fault == ClaimFault::DispatchBeforeClaim)
            return;
        if (this->now < node.pausedUntil) {
            this->dispatches.emplace(node.pausedUntil, dispatch);
            return;
        }
        OutcomeReport &report = dispatch.report;
        report.at = this->wallTime(dispatch.node);
        if (report.outcome == AttemptOutcome::Done) {
            if (dispatch.submission.checksFence)
                node.unrecorded[report.attempt] = {dispatch.submission, report.answer};
            else
                this->recordAnswer(dispatch.submission.key, report.answer);
        }
        // The report may go to another instance's shard when this one is not the collector.
        const std::size_t to =
            this->random.below(4) == 0 ? (dispatch.node + 1) % kInstances : dispatch.node;
        const bool isOther = to != dispatch.node;
        if (isOther
            && (this->now < this->nodes[to].pausedUntil || report.outcome == AttemptOutcome::Done))
            this->executeActions(dispatch.node, node.shard->onOutcome(report, this->now));
        else
            this->executeActions(to, this->nodes[to].shard->onOutcome(report, this->now));
    }

    void recorded(Node &node, const ClaimRecorded &recorded)
    {
        const auto found = node.unrecorded.find(recorded.attempt);
        if (found == node.unrecorded.end())
            return;
        if (!recorded.isSuperseded)
            this->recordAnswer(found->second.first.key, found->second.second);
        node.unrecorded.erase(found);
    }

    void recordAnswer(const std::string &name, const std::string &answer)
    {
        ModelService::Key &key = this->service.keys[name];
        if (key.isAnswered && key.answer != answer)
            this->fail("two answers for a key");
        key.isAnswered = true;
        key.answer = answer;
    }

    ClaimFault fault;
    Random random;
    ModelStore store;
    ModelService service;
    std::array<Node, kInstances> nodes;
    std::uint64_t lastIncarnation = 0;
    std::uint64_t submissions = 0;
    std::multimap<absl::Time, Dispatch> dispatches;
    std::set<std::uint64_t> fences;
    std::set<std::string> refusedNotRun;
    std::set<std::string> grantedKeys;
    absl::Time now = absl::FromUnixSeconds(1000);
    std::string firstViolation;
};

/** First violations of @p runs random scripts. */
std::set<std::string> violations(ClaimFault fault, int runs)
{
    std::set<std::string> found;
    Random random(20240601);
    for (int run = 0; run < runs; ++run) {
        ClaimModel model(random.next(), fault);
        for (int event = 0; event < 60 && model.violation().empty(); ++event)
            model.apply(static_cast<std::uint16_t>(random.next()));
        if (!model.violation().empty())
            found.insert(model.violation());
    }
    return found;
}

} // namespace

// Guards against a second run of a non-idempotent action, against a refusal that wrongly states
// "not run", against differing answers for one key, and against requests that wait forever.
TEST(ClaimShardTest, KeyRunsAtMostOnceUnderStoreFaultsRestartsAndPauses)
{
    EXPECT_TRUE(rc::check("claims", [](std::uint64_t seed) {
        // A fixed size gives long scripts with full-range events from the first test case on.
        const auto script =
            *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::vector<std::uint16_t>>());
        ClaimModel model(seed, ClaimFault::None);
        for (const std::uint16_t event : script) {
            model.apply(event);
            RC_ASSERT(model.violation() == std::string());
        }
        RC_ASSERT(model.settles());
        RC_ASSERT(model.violation() == std::string());
    }));
}

// Shows that the checker above detects the faults it guards against.
TEST(ClaimShardTest, CheckerSeesMissingReadBack)
{
    EXPECT_TRUE(violations(ClaimFault::NoReadBack, 50).contains("second run of a key"));
}

TEST(ClaimShardTest, CheckerSeesDispatchBeforeClaim)
{
    EXPECT_TRUE(violations(ClaimFault::DispatchBeforeClaim, 50).contains("second run of a key"));
}

TEST(ClaimShardTest, CheckerFindsNoFaultInTheCodeItself)
{
    EXPECT_EQ(violations(ClaimFault::None, 200), std::set<std::string>());
}

} // namespace foxtailtally

#include "core/hash.h"
#include "servers/configuration/change_set.h"
#include "servers/configuration/document_store.h"
#include "servers/configuration/out_of_service_list.h"

#include <absl/strings/str_cat.h>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace foxtailtally {

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'700'000'000);

std::string digestText(std::uint64_t number)
{
    return absl::StrCat(absl::Hex(stableHash(std::to_string(number)), absl::kZeroPad16),
                        absl::Hex(number, absl::kZeroPad16));
}

CustomerEntry customer(std::uint64_t number, std::vector<ModelId> models)
{
    return {CustomerId("customer-" + std::to_string(number)),
            digestText(number),
            {FailureDomainId("north-1"), FailureDomainId("north-2"), FailureDomainId("south-1"),
             FailureDomainId("south-2")},
            std::move(models),
            100000 + number,
            10 + number};
}

ModelEntry model(int number)
{
    return {ModelId("model-" + std::to_string(number)),
            {"v1", "v2"},
            "weights",
            absl::InfiniteFuture()};
}

std::set<std::string> keysOf(const ReleaseState &state)
{
    std::set<std::string> keys;
    for (const ModelEntry &entry : state.models)
        keys.insert("models/" + entry.key());
    for (const CustomerEntry &entry : state.customers)
        keys.insert("customers/" + entry.key());
    return keys;
}

} // namespace

// Guards against a note of a full-size deployment that does not fit into a platform object.
TEST(ReleaseNoteTest, TargetScaleFitsIntoOneObject)
{
    ReleaseNote note;
    note.number = 1;
    note.author = "operator";
    note.time = kStart;
    std::vector<ModelId> models;
    for (int index = 0; index < 4; ++index) {
        note.state.models.push_back(model(index));
        models.push_back(note.state.models.back().id);
        note.state.adapters.push_back(
            {AdapterId("adapter-" + std::to_string(index)), models.back(), "v1"});
    }
    for (std::uint64_t index = 0; index < 740; ++index) {
        note.state.customers.push_back(customer(index, models));
        // The longest digest and long ids.
        note.state.customers.back().keyDigest = digestText(index) + std::string(96, 'f');
        note.state.customers.back().id =
            CustomerId(note.state.customers.back().id.str() + std::string(40, 'x'));
    }
    const std::string text = note.serialize();
    RecordProperty("bytes", static_cast<int>(text.size()));
    EXPECT_LE(text.size(), 1'000'000U);
    DocumentProblems problems;
    const auto parsed = ReleaseNote::parse(text, problems);
    ASSERT_TRUE(parsed.ok());
    EXPECT_EQ(parsed->serialize(), text);
}

// Guards against errors that are reported without their location, and against reporting only the
// first one.
TEST(ReleaseNoteTest, ReportsEveryProblemWithItsPath)
{
    DocumentProblems problems;
    const auto parsed = ReleaseNote::parse(
        R"({"number":0,"author":"a","time_ms":1,"added":[],"changed":[],"withdrawn":[3],
            "history":[],"state":{"models":[{"id":"m","versions":["v"],"weights":"w"}],
            "adapters":[{"id":"a b","model":"x","version":"v"}],
            "customers":[{"id":"c","key_digest":"secret","failure_domains":["d"],"models":["y"],
            "tokens_per_second":-1,"requests_per_second":1.5}],"services":{}}})",
        problems);
    EXPECT_EQ(parsed.error(), Error::DocumentInvalid);
    std::set<std::string> found;
    for (const DocumentProblem &problem : problems) {
        found.insert(problem.path + " " + std::string(problemName(problem.kind)));
        EXPECT_EQ(problem.describe().find("secret"), std::string::npos);
    }
    EXPECT_EQ(
        found,
        (std::set<std::string> {
            "/number out_of_range", "/withdrawn/0 wrong_type", "/state/adapters/0/id bad_format",
            "/state/adapters/0/model unknown_reference", "/state/customers/0/key_digest bad_format",
            "/state/customers/0/models/0 unknown_reference",
            "/state/customers/0/tokens_per_second out_of_range",
            "/state/customers/0/requests_per_second wrong_type", "/state/services wrong_type"}));
}

// Guards against change sets that lose or invent entries, and against models that are removed or
// get new work while they are draining. The oracle is a map from entry to drain time.
TEST(ReleaseNoteTest, ChangeSetsApplyLikeTheModel)
{
    EXPECT_TRUE(rc::check("change sets", [] {
        ReleaseNote note;
        std::map<std::string, absl::Time> oracle;
        absl::Time now = kStart;
        const auto steps =
            *rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, std::uint8_t>>>();
        for (const auto &[action, which] : steps) {
            now += absl::Seconds(action);
            const bool isModel = which % 2 == 0;
            const std::uint64_t number = which / 2 % 3;
            ChangeSet changes;
            changes.author = "operator";
            ReleaseState entry;
            if (isModel)
                entry.models.push_back(model(static_cast<int>(number)));
            else
                entry.customers.push_back(customer(number, {}));
            const std::string name = *keysOf(entry).begin();
            auto expected = oracle;
            std::erase_if(expected, [now](const auto &item) { return item.second <= now; });
            const bool isKnown = expected.contains(name);
            if (action % 3 == 0)
                changes.added = entry;
            else if (action % 3 == 1)
                changes.changed = entry;
            else
                changes.withdrawn.push_back(name);
            DocumentProblems problems;
            const auto next = changes.applyTo(note, now, "id", problems);
            RC_ASSERT(next.ok() == (isKnown == (action % 3 != 0)));
            RC_ASSERT(next.ok() == problems.empty());
            if (!next.ok())
                continue;
            if (action % 3 != 2)
                expected[name] = absl::InfiniteFuture();
            else if (isModel)
                expected[name] = std::min(expected[name], now + kModelDrainTime);
            else
                expected.erase(name);
            oracle = expected;
            RC_ASSERT(next->number == note.number + 1);
            const auto parsed = ReleaseNote::parse(next->serialize(), problems);
            RC_ASSERT(parsed.ok());
            RC_ASSERT(parsed->state == next->state);
            note = *parsed;
            std::set<std::string> names;
            for (const auto &[key, until] : oracle) {
                names.insert(key);
                if (!key.starts_with("models/"))
                    continue;
                const ModelId id(key.substr(7));
                RC_ASSERT(note.allowsNewWork(id, now) == (until == absl::InfiniteFuture()));
                RC_ASSERT((note.modelState(id, now + kModelDrainTime) == ModelState::Withdrawn)
                          == (until != absl::InfiniteFuture()));
            }
            RC_ASSERT(keysOf(note.state) == names);
        }
        RC_ASSERT(!note.allowsNewWork(ModelId("unknown"), now));
    }));
}

// Guards against examples in the operators' documentation that the program rejects.
TEST(ReleaseNoteTest, DocumentedExamplesAreValid)
{
    std::ifstream file(FOXTAILTALLY_SOURCE_DIR "/docs/release-notes.md");
    const std::string page {std::istreambuf_iterator<char>(file), {}};
    std::vector<std::string> examples;
    const std::string fence = "```json\n";
    for (std::size_t at = page.find(fence); at != std::string::npos;
         at = page.find(fence, at + fence.size()))
        examples.push_back(
            page.substr(at + fence.size(), page.find("\n```", at) - at - fence.size()));
    ASSERT_EQ(examples.size(), 2U);
    DocumentProblems problems;
    EXPECT_TRUE(ChangeSet::parse(examples[0], problems).ok());
    EXPECT_TRUE(OutOfServiceList::parse(examples[1], problems).ok());
    EXPECT_TRUE(problems.empty());
}

// Guards against a crash or a silent failure on a damaged document.
TEST(ReleaseNoteTest, DamagedTextIsReportedOrValid)
{
    EXPECT_TRUE(rc::check("damage", [] {
        ReleaseNote note;
        note.number = 1;
        note.author = "operator";
        note.state.models.push_back(model(1));
        note.state.customers.push_back(customer(1, {ModelId("model-1")}));
        note.state.services.push_back({"ledger", {{"approve", false}}, true});
        std::string text = note.serialize();
        const auto damage = *rc::gen::arbitrary<std::vector<std::pair<std::uint32_t, char>>>();
        for (const auto &[place, value] : damage)
            text[place % text.size()] = value;
        DocumentProblems problems;
        const auto parsed = ReleaseNote::parse(text, problems);
        RC_ASSERT(parsed.ok() == problems.empty());
        if (parsed.ok())
            RC_ASSERT(ReleaseNote::parse(parsed->serialize(), problems).ok());
        (void)OutOfServiceList::parse(text, problems);
        (void)ChangeSet::parse(text, problems);
    }));
}

// Guards against typing mistakes in an operator's text that are silently ignored.
TEST(ReleaseNoteTest, ChangeSetRejectsUnknownMembers)
{
    DocumentProblems problems;
    EXPECT_FALSE(ChangeSet::parse(R"({"author":"a","add":{}})", problems).ok());
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].describe(), "/add: unknown_member");
}

// Guards against an entry that is lost in serialization, or whose first author is overwritten.
TEST(OutOfServiceListTest, KeepsTheFirstAuthorOfEachEntry)
{
    const FailureDomainId domain("north-1");
    const OutOfServiceList first =
        OutOfServiceList().withDomain(domain, true, {0, "ann", "1"}, kStart);
    const OutOfServiceList second =
        first.withDomain(domain, true, {0, "bo", "2"}, kStart + absl::Hours(1))
            .withInstance(InstanceId("e1"), true, {0, "bo", "3"}, kStart);
    DocumentProblems problems;
    const auto parsed = OutOfServiceList::parse(second.serialize(), problems);
    ASSERT_TRUE(parsed.ok());
    EXPECT_EQ(parsed->number, 3U);
    EXPECT_TRUE(parsed->isOutOfService(domain) && parsed->isOutOfService(InstanceId("e1")));
    EXPECT_EQ(parsed->failureDomains[0], (OutOfServiceList::Entry {"north-1", "ann", kStart}));
    EXPECT_EQ(parsed->history.find(2)->author, "bo");
    EXPECT_FALSE(parsed->withDomain(domain, false, {0, "cy", "4"}, kStart).isOutOfService(domain));
}

// Guards against accepting a second document with the same number, a damaged body or a lower
// number.
TEST(DocumentStoreTest, RefusesOtherDigestDamageAndLowerNumbers)
{
    const auto document = [](const std::string &author, int orders) {
        OutOfServiceList list;
        for (int order = 0; order < orders; ++order)
            list = list.withInstance(InstanceId("e1"), true, {0, author, "id"}, kStart);
        return Document::make(DocumentKind::OutOfServiceList, list.number, list.serialize());
    };
    DocumentStore store;
    EXPECT_EQ(*store.offer(document("ann", 2)), DocumentStore::OfferOutcome::Held);
    EXPECT_EQ(*store.offer(document("ann", 2)), DocumentStore::OfferOutcome::AlreadyHeld);
    EXPECT_EQ(store.offer(document("bo", 2)).error(), Error::DocumentConflict);
    EXPECT_EQ(*store.offer(document("ann", 1)), DocumentStore::OfferOutcome::Older);
    Document damaged = document("ann", 3);
    damaged.body.replace(damaged.body.find("ann"), 3, "bob");
    EXPECT_EQ(store.offer(damaged).error(), Error::DocumentInvalid);
    Document misnumbered = document("ann", 3);
    misnumbered.number = 9;
    EXPECT_EQ(store.offer(misnumbered).error(), Error::DocumentInvalid);
    EXPECT_FALSE(store.confirm(DocumentKind::OutOfServiceList, 1));
    EXPECT_TRUE(store.confirm(DocumentKind::OutOfServiceList, 2));
    EXPECT_EQ(store.inForceNumbers(), (DocumentNumbers {0, 2, 0}));
}

} // namespace foxtailtally

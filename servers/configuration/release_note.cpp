#include "servers/configuration/release_note.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <limits>

namespace foxtailtally {

namespace {

constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
/** Above any rate that one deployment can serve; keeps products of rates within 64 bits. */
constexpr std::uint64_t kMaxRate = 1000000000000ULL;
/** Bounds of a BLAKE2b digest in hexadecimal digits: 16 to 64 bytes. */
constexpr std::size_t kMinDigestDigits = 32;
constexpr std::size_t kMaxDigestDigits = 128;

template <typename Id>
std::vector<Id> toIds(std::vector<std::string> texts)
{
    std::vector<Id> ids;
    ids.reserve(texts.size());
    for (std::string &text : texts)
        ids.emplace_back(std::move(text));
    return ids;
}

template <typename Id>
nlohmann::json fromIds(const std::vector<Id> &ids)
{
    auto list = nlohmann::json::array();
    for (const Id &id : ids)
        list.push_back(id.str());
    return list;
}

template <typename Entry>
void readEntries(DocumentReader &reader, std::vector<Entry> &entries)
{
    reader.objects(Entry::kSection,
                   [&entries](DocumentReader &item) { entries.push_back(Entry::read(item)); });
}

template <typename Entry>
nlohmann::json entriesToJson(const std::vector<Entry> &entries)
{
    auto list = nlohmann::json::array();
    for (const Entry &entry : entries)
        list.push_back(entry.toJson());
    return list;
}

template <typename Entry>
std::string entryPath(std::string_view path, std::size_t index, std::string_view member)
{
    return std::string(path)
        .append("/")
        .append(Entry::kSection)
        .append("/")
        .append(std::to_string(index))
        .append("/")
        .append(member);
}

template <typename Entry>
absl::flat_hash_set<std::string> checkUnique(const std::vector<Entry> &entries,
                                             std::string_view path, DocumentProblems &problems)
{
    absl::flat_hash_set<std::string> keys;
    for (std::size_t index = 0; index < entries.size(); ++index)
        if (!keys.insert(entries[index].key()).second)
            problems.push_back({DocumentProblem::Kind::DuplicateId,
                                entryPath<Entry>(path, index, "id"), "an id used once"});
    return keys;
}

template <typename Entry>
void sortEntries(std::vector<Entry> &entries)
{
    std::sort(entries.begin(), entries.end(),
              [](const Entry &left, const Entry &right) { return left.key() < right.key(); });
}

bool isKeyDigest(std::string_view text)
{
    return text.size() >= kMinDigestDigits && text.size() <= kMaxDigestDigits
        && text.size() % 2 == 0
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

ModelEntry ModelEntry::read(DocumentReader &reader)
{
    ModelEntry entry;
    entry.id = ModelId(reader.id("id"));
    entry.versions = reader.ids("versions");
    if (entry.versions.empty())
        reader.report(DocumentProblem::Kind::OutOfRange, "versions", "at least one");
    entry.weights = reader.text("weights");
    if (reader.has("drain_until_ms"))
        entry.drainUntil = reader.time("drain_until_ms");
    return entry;
}

nlohmann::json ModelEntry::toJson() const
{
    nlohmann::json value = {
        {"id", this->id.str()}, {"versions", this->versions}, {"weights", this->weights}};
    if (this->drainUntil != absl::InfiniteFuture())
        value["drain_until_ms"] = unixMillis(this->drainUntil);
    return value;
}

AdapterEntry AdapterEntry::read(DocumentReader &reader)
{
    AdapterEntry entry;
    entry.id = AdapterId(reader.id("id"));
    entry.model = ModelId(reader.id("model"));
    entry.version = reader.id("version");
    return entry;
}

nlohmann::json AdapterEntry::toJson() const
{
    return {{"id", this->id.str()}, {"model", this->model.str()}, {"version", this->version}};
}

CustomerEntry CustomerEntry::read(DocumentReader &reader)
{
    CustomerEntry entry;
    entry.id = CustomerId(reader.id("id"));
    entry.keyDigest = reader.text("key_digest");
    if (!isKeyDigest(entry.keyDigest))
        reader.report(DocumentProblem::Kind::BadFormat, "key_digest",
                      "32 to 128 lower-case hexadecimal digits");
    entry.failureDomains = toIds<FailureDomainId>(reader.ids("failure_domains"));
    if (entry.failureDomains.empty())
        reader.report(DocumentProblem::Kind::OutOfRange, "failure_domains", "at least one");
    entry.models = toIds<ModelId>(reader.ids("models"));
    entry.tokensPerSecond = reader.integer("tokens_per_second", 1, kMaxRate);
    entry.requestsPerSecond = reader.integer("requests_per_second", 1, kMaxRate);
    return entry;
}

nlohmann::json CustomerEntry::toJson() const
{
    return {{"id", this->id.str()},
            {"key_digest", this->keyDigest},
            {"failure_domains", fromIds(this->failureDomains)},
            {"models", fromIds(this->models)},
            {"tokens_per_second", this->tokensPerSecond},
            {"requests_per_second", this->requestsPerSecond}};
}

ServiceEntry ServiceEntry::read(DocumentReader &reader)
{
    ServiceEntry entry;
    entry.name = reader.id("name");
    entry.checksFence = reader.flag("checks_fence");
    reader.objects("calls", [&entry](DocumentReader &item) {
        ServiceCallEntry call;
        call.name = item.id("name");
        call.isRepeatable = item.flag("repeatable");
        const bool isKnown =
            std::any_of(entry.calls.begin(), entry.calls.end(),
                        [&call](const ServiceCallEntry &other) { return other.name == call.name; });
        if (isKnown)
            item.report(DocumentProblem::Kind::DuplicateId, "name", "a name used once");
        entry.calls.push_back(std::move(call));
    });
    return entry;
}

nlohmann::json ServiceEntry::toJson() const
{
    auto list = nlohmann::json::array();
    for (const ServiceCallEntry &call : this->calls)
        list.push_back({{"name", call.name}, {"repeatable", call.isRepeatable}});
    return {{"name", this->name}, {"checks_fence", this->checksFence}, {"calls", list}};
}

ReleaseState ReleaseState::read(DocumentReader &reader)
{
    ReleaseState state;
    readEntries(reader, state.models);
    readEntries(reader, state.adapters);
    readEntries(reader, state.customers);
    readEntries(reader, state.services);
    return state;
}

void ReleaseState::validate(std::string_view path, DocumentProblems &problems) const
{
    const auto known = checkUnique(this->models, path, problems);
    checkUnique(this->adapters, path, problems);
    checkUnique(this->customers, path, problems);
    checkUnique(this->services, path, problems);
    for (std::size_t index = 0; index < this->adapters.size(); ++index)
        if (!known.contains(this->adapters[index].model.str()))
            problems.push_back({DocumentProblem::Kind::UnknownReference,
                                entryPath<AdapterEntry>(path, index, "model"), "a listed model"});
    absl::flat_hash_set<std::string> digests;
    for (std::size_t index = 0; index < this->customers.size(); ++index) {
        const CustomerEntry &customer = this->customers[index];
        // Two customers with one API key could not be told apart.
        if (!digests.insert(customer.keyDigest).second)
            problems.push_back({DocumentProblem::Kind::DuplicateId,
                                entryPath<CustomerEntry>(path, index, "key_digest"),
                                "a digest used once"});
        for (std::size_t model = 0; model < customer.models.size(); ++model)
            if (!known.contains(customer.models[model].str()))
                problems.push_back(
                    {DocumentProblem::Kind::UnknownReference,
                     entryPath<CustomerEntry>(path, index, "models/" + std::to_string(model)),
                     "a listed model"});
    }
}

nlohmann::json ReleaseState::toJson() const
{
    return {{ModelEntry::kSection, entriesToJson(this->models)},
            {AdapterEntry::kSection, entriesToJson(this->adapters)},
            {CustomerEntry::kSection, entriesToJson(this->customers)},
            {ServiceEntry::kSection, entriesToJson(this->services)}};
}

void ReleaseState::sort()
{
    sortEntries(this->models);
    sortEntries(this->adapters);
    sortEntries(this->customers);
    sortEntries(this->services);
}

const CustomerEntry *ReleaseState::findCustomerByKeyDigest(std::string_view keyDigest) const
{
    for (const CustomerEntry &customer : this->customers)
        if (customer.keyDigest == keyDigest)
            return &customer;
    return nullptr;
}

Result<ReleaseNote> ReleaseNote::parse(std::string_view text, DocumentProblems &problems)
{
    const std::size_t before = problems.size();
    if (text.size() > kMaxDocumentBytes)
        problems.push_back({DocumentProblem::Kind::TooLarge, "", "1000000 bytes"});
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded())
        problems.push_back({DocumentProblem::Kind::Syntax, "", "JSON"});
    if (problems.size() > before)
        return Error::DocumentInvalid;
    DocumentReader reader(value, "", problems);
    ReleaseNote note;
    note.number = reader.integer("number", 1, kMaxNumber);
    note.author = reader.text("author");
    note.time = reader.time("time_ms");
    note.added = reader.texts("added");
    note.changed = reader.texts("changed");
    note.withdrawn = reader.texts("withdrawn");
    note.history = PublicationHistory::read(reader);
    reader.object("state",
                  [&note](DocumentReader &state) { note.state = ReleaseState::read(state); });
    note.state.validate("/state", problems);
    if (problems.size() > before)
        return Error::DocumentInvalid;
    return note;
}

std::string ReleaseNote::serialize() const
{
    ReleaseState sorted = this->state;
    sorted.sort();
    return canonicalText({{"number", this->number},
                          {"author", this->author},
                          {"time_ms", unixMillis(this->time)},
                          {"added", this->added},
                          {"changed", this->changed},
                          {"withdrawn", this->withdrawn},
                          {"history", this->history.toJson()},
                          {"state", sorted.toJson()}});
}

ModelState ReleaseNote::modelState(const ModelId &model, absl::Time wallNow) const
{
    for (const ModelEntry &entry : this->state.models) {
        if (entry.id != model)
            continue;
        if (entry.drainUntil == absl::InfiniteFuture())
            return ModelState::Serving;
        return wallNow < entry.drainUntil ? ModelState::Draining : ModelState::Withdrawn;
    }
    return ModelState::Withdrawn;
}

bool ReleaseNote::allowsNewWork(const ModelId &model, absl::Time wallNow) const
{
    return this->modelState(model, wallNow) == ModelState::Serving;
}

} // namespace foxtailtally

#include "servers/configuration/change_set.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace foxtailtally {

namespace {

/** Reads the sections that an operator's object names; a section may be absent. */
ReleaseState readSections(DocumentReader &reader)
{
    ReleaseState state;
    const auto section = [&reader](auto &entries) {
        using Entry = typename std::decay_t<decltype(entries)>::value_type;
        if (!reader.has(Entry::kSection))
            return;
        reader.objects(Entry::kSection, [&entries](DocumentReader &item) {
            entries.push_back(Entry::read(item));
            item.rejectUnknownMembers();
        });
    };
    section(state.models);
    section(state.adapters);
    section(state.customers);
    section(state.services);
    reader.rejectUnknownMembers();
    return state;
}

/**
 * Applies the added, changed and withdrawn entries section by section and records them in the note.
 */
class ChangeSetApplication
{
public:
    ChangeSetApplication(const ChangeSet &changes, absl::Time wallNow, ReleaseNote &note,
                         DocumentProblems &problems)
        : changes(changes)
        , wallNow(wallNow)
        , note(note)
        , problems(problems)
    { }

    void run()
    {
        this->dropDrainedModels();
        this->section(&ReleaseState::models);
        this->section(&ReleaseState::adapters);
        this->section(&ReleaseState::customers);
        this->section(&ReleaseState::services);
        for (std::size_t index = 0; index < this->changes.withdrawn.size(); ++index)
            if (!this->found.contains(this->changes.withdrawn[index]))
                this->problems.push_back({DocumentProblem::Kind::UnknownReference,
                                          "/withdrawn/" + std::to_string(index),
                                          "an entry in force"});
        this->note.state.sort();
    }

private:
    template <typename Entry>
    static std::string name(const Entry &entry)
    {
        return std::string(Entry::kSection) + "/" + entry.key();
    }

    void dropDrainedModels()
    {
        ReleaseState &state = this->note.state;
        absl::flat_hash_set<std::string> dropped;
        for (const ModelEntry &model : state.models)
            if (model.drainUntil <= this->wallNow) {
                dropped.insert(model.key());
                this->note.withdrawn.push_back(this->name(model));
            }
        if (dropped.empty())
            return;
        const auto isDropped = [&dropped](const ModelId &id) { return dropped.contains(id.str()); };
        std::erase_if(state.models, [&](const ModelEntry &model) { return isDropped(model.id); });
        std::erase_if(state.adapters, [&](const AdapterEntry &adapter) {
            if (!isDropped(adapter.model))
                return false;
            this->note.withdrawn.push_back(this->name(adapter));
            return true;
        });
        for (CustomerEntry &customer : state.customers)
            std::erase_if(customer.models, isDropped);
    }

    template <typename Entry>
    void section(std::vector<Entry> ReleaseState::*member)
    {
        std::vector<Entry> &entries = this->note.state.*member;
        const auto locate = [&entries](const Entry &wanted) {
            return std::find_if(entries.begin(), entries.end(), [&wanted](const Entry &entry) {
                return entry.key() == wanted.key();
            });
        };
        this->withdraw(entries);
        this->applyEach("/added/", this->changes.added.*member, [&](const Entry &entry) {
            if (locate(entry) != entries.end())
                return false;
            entries.push_back(entry);
            this->note.added.push_back(this->name(entry));
            return true;
        });
        this->applyEach("/changed/", this->changes.changed.*member, [&](const Entry &entry) {
            const auto place = locate(entry);
            if (place == entries.end())
                return false;
            *place = entry;
            this->note.changed.push_back(this->name(entry));
            return true;
        });
    }

    template <typename Entry, typename Apply>
    void applyEach(std::string_view path, const std::vector<Entry> &listed, const Apply &apply)
    {
        const bool isAddition = path == "/added/";
        for (std::size_t index = 0; index < listed.size(); ++index)
            if (!apply(listed[index]))
                this->problems.push_back(
                    {isAddition ? DocumentProblem::Kind::DuplicateId
                                : DocumentProblem::Kind::UnknownReference,
                     std::string(path)
                         .append(Entry::kSection)
                         .append("/")
                         .append(std::to_string(index)),
                     isAddition ? "an id that is not in force" : "an id in force"});
    }

    template <typename Entry>
    void withdraw(std::vector<Entry> &entries)
    {
        std::erase_if(entries, [this](Entry &entry) {
            const auto &listed = this->changes.withdrawn;
            const std::string name = this->name(entry);
            if (std::find(listed.begin(), listed.end(), name) == listed.end())
                return false;
            this->found.insert(name);
            this->note.withdrawn.push_back(name);
            if constexpr (std::is_same_v<Entry, ModelEntry>) {
                // A second withdrawal must not extend the draining time.
                entry.drainUntil = std::min(entry.drainUntil, this->wallNow + kModelDrainTime);
                return false;
            }
            return true;
        });
    }

    const ChangeSet &changes;
    absl::Time wallNow;
    ReleaseNote &note;
    DocumentProblems &problems;
    absl::flat_hash_set<std::string> found;
};

} // namespace

Result<ChangeSet> ChangeSet::parse(std::string_view text, DocumentProblems &problems)
{
    const std::size_t before = problems.size();
    const Result<nlohmann::json> value = parseJson(text, problems);
    if (!value.ok())
        return value.error();
    DocumentReader reader(*value, "", problems);
    ChangeSet changes;
    changes.author = reader.text("author");
    if (reader.has("added"))
        reader.object("added", [&](DocumentReader &part) { changes.added = readSections(part); });
    if (reader.has("changed"))
        reader.object("changed",
                      [&](DocumentReader &part) { changes.changed = readSections(part); });
    if (reader.has("withdrawn"))
        changes.withdrawn = reader.texts("withdrawn");
    reader.rejectUnknownMembers();
    if (problems.size() > before)
        return Error::DocumentInvalid;
    return changes;
}

Result<ReleaseNote> ChangeSet::applyTo(const ReleaseNote &previous, absl::Time wallNow,
                                       std::string_view publicationId,
                                       DocumentProblems &problems) const
{
    const std::size_t before = problems.size();
    ReleaseNote note;
    note.number = previous.number + 1;
    note.author = this->author;
    note.time = wallNow;
    note.state = previous.state;
    note.history = previous.history.with({note.number, this->author, std::string(publicationId)});
    ChangeSetApplication(*this, wallNow, note, problems).run();
    note.state.validate("/state", problems);
    if (note.serialize().size() > kMaxDocumentBytes)
        problems.push_back({DocumentProblem::Kind::TooLarge, "", "1000000 bytes"});
    if (problems.size() > before)
        return Error::DocumentInvalid;
    return note;
}

} // namespace foxtailtally

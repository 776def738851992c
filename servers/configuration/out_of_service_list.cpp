#include "servers/configuration/out_of_service_list.h"

#include <algorithm>
#include <limits>

namespace foxtailtally {

namespace {

bool contains(const std::vector<OutOfServiceList::Entry> &entries, std::string_view id)
{
    return std::any_of(entries.begin(), entries.end(),
                       [id](const OutOfServiceList::Entry &entry) { return entry.id == id; });
}

std::vector<OutOfServiceList::Entry> readEntries(DocumentReader &reader, std::string_view name)
{
    std::vector<OutOfServiceList::Entry> entries;
    reader.objects(name, [&entries](DocumentReader &item) {
        OutOfServiceList::Entry entry;
        entry.id = item.id("id");
        entry.author = item.text("author");
        entry.time = item.time("time_ms");
        if (contains(entries, entry.id))
            item.report(DocumentProblem::Kind::DuplicateId, "id", "an id used once");
        entries.push_back(std::move(entry));
    });
    return entries;
}

nlohmann::json entriesToJson(const std::vector<OutOfServiceList::Entry> &entries)
{
    auto list = nlohmann::json::array();
    for (const OutOfServiceList::Entry &entry : entries)
        list.push_back(
            {{"id", entry.id}, {"author", entry.author}, {"time_ms", unixMillis(entry.time)}});
    return list;
}

void setOutOfService(std::vector<OutOfServiceList::Entry> &entries, const std::string &id,
                     bool isOutOfService, const std::string &author, absl::Time wallNow)
{
    if (!isOutOfService) {
        std::erase_if(entries,
                      [&id](const OutOfServiceList::Entry &entry) { return entry.id == id; });
        return;
    }
    if (contains(entries, id))
        return;
    entries.push_back({id, author, wallNow});
    std::sort(entries.begin(), entries.end(),
              [](const OutOfServiceList::Entry &left, const OutOfServiceList::Entry &right) {
                  return left.id < right.id;
              });
}

OutOfServiceList successor(const OutOfServiceList &previous, const Publication &publication,
                           absl::Time wallNow)
{
    OutOfServiceList next = previous;
    next.number = previous.number + 1;
    next.author = publication.author;
    next.time = wallNow;
    next.history = previous.history.with({next.number, publication.author, publication.id});
    return next;
}

} // namespace

Result<OutOfServiceList> OutOfServiceList::parse(std::string_view text, DocumentProblems &problems)
{
    const std::size_t before = problems.size();
    const Result<nlohmann::json> value = parseJson(text, problems);
    if (!value.ok())
        return value.error();
    DocumentReader reader(*value, "", problems);
    OutOfServiceList list;
    list.number = reader.integer("number", 1, std::numeric_limits<std::int64_t>::max());
    list.author = reader.text("author");
    list.time = reader.time("time_ms");
    list.failureDomains = readEntries(reader, "failure_domains");
    list.instances = readEntries(reader, "instances");
    list.history = PublicationHistory::read(reader);
    if (problems.size() > before)
        return Error::DocumentInvalid;
    return list;
}

std::string OutOfServiceList::serialize() const
{
    return canonicalText({{"number", this->number},
                          {"author", this->author},
                          {"time_ms", unixMillis(this->time)},
                          {"failure_domains", entriesToJson(this->failureDomains)},
                          {"instances", entriesToJson(this->instances)},
                          {"history", this->history.toJson()}});
}

bool OutOfServiceList::isOutOfService(const FailureDomainId &domain) const
{
    return contains(this->failureDomains, domain.str());
}

bool OutOfServiceList::isOutOfService(const InstanceId &instance) const
{
    return contains(this->instances, instance.str());
}

OutOfServiceList OutOfServiceList::withDomain(const FailureDomainId &domain, bool isOutOfService,
                                              const Publication &publication,
                                              absl::Time wallNow) const
{
    OutOfServiceList next = successor(*this, publication, wallNow);
    setOutOfService(next.failureDomains, domain.str(), isOutOfService, publication.author, wallNow);
    return next;
}

OutOfServiceList OutOfServiceList::withInstance(const InstanceId &instance, bool isOutOfService,
                                                const Publication &publication,
                                                absl::Time wallNow) const
{
    OutOfServiceList next = successor(*this, publication, wallNow);
    setOutOfService(next.instances, instance.str(), isOutOfService, publication.author, wallNow);
    return next;
}

} // namespace foxtailtally

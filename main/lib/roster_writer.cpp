#include "main/lib/roster_writer.h"

#include "core/log.h"
#include "servers/configuration/document.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

std::vector<RosterMember> toMembers(const std::vector<RosterDocument::Member> &members)
{
    std::vector<RosterMember> result;
    result.reserve(members.size());
    for (const RosterDocument::Member &member : members)
        result.push_back({member.id, member.incarnation});
    return result;
}

std::vector<RosterDocument::Member> fromMembers(const std::vector<RosterMember> &members)
{
    std::vector<RosterDocument::Member> result;
    result.reserve(members.size());
    for (const RosterMember &member : members)
        result.push_back({member.instance, member.incarnation});
    return result;
}

} // namespace

Roster toShareRoster(const RosterDocument &document, const FailureDomainId &domain)
{
    Roster roster;
    roster.domain = domain;
    roster.current = {document.number, toMembers(document.members)};
    for (const RosterDocument::Unsettled &version : document.unsettled)
        roster.unsettled.push_back({version.number, toMembers(version.members)});
    return roster;
}

RosterWriter::RosterWriter(InstanceId self, Incarnation incarnation, FailureDomainId domain,
                           const PlatformClient &platform)
    : self(std::move(self))
    , incarnation(incarnation)
    , domain(std::move(domain))
    , platform(platform)
    , loop("roster-writer")
{ }

void RosterWriter::onInstanceList(const std::vector<ListedInstance> &listed, absl::Time now)
{
    this->plan.onInstanceList(listed, now);
}

void RosterWriter::update(
    const RosterDocument &current,
    absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished,
    absl::Time now, absl::Time wallNow)
{
    if (this->isWriting.load())
        return;
    const Publication publication {current.number + 1, this->self.str(),
                                   this->self.str() + "-" + std::to_string(this->incarnation)
                                       + "-roster-" + std::to_string(this->attempts + 1)};
    std::optional<RosterDocument> next = this->plan.next(current, publication, now, wallNow);
    if (!next.has_value())
        return;
    const Result<Roster> roster =
        nextRoster(toShareRoster(current, this->domain), toMembers(next->members), hasRelinquished);
    if (!roster.ok())
        return;
    next->unsettled.clear();
    for (const RosterVersion &version : roster->unsettled)
        next->unsettled.push_back({version.version, fromMembers(version.members)});
    this->attempts += 1;
    this->isWriting.store(true);
    this->loop.post([this, document = std::move(*next), publication] {
        this->publish(document, publication);
        this->isWriting.store(false);
    });
}

void RosterWriter::publish(const RosterDocument &next, const Publication &publication)
{
    const std::string key = documentKey(DocumentKind::Roster, this->domain);
    const Result<StoredObject> stored = this->platform.get(key);
    std::uint64_t version = kAbsentVersion;
    if (stored.ok()) {
        DocumentProblems problems;
        const Result<RosterDocument> current = RosterDocument::parse(stored->value, problems);
        // Another instance wrote first; the next roster is based on the one that it wrote.
        if (!current.ok() || current->number + 1 != publication.number)
            return;
        version = stored->version;
    } else if (stored.error() != Error::StoreNotFound || publication.number != 1) {
        return;
    }
    // A lost response needs no read-back: the watch reports what was written.
    const WriteReply reply = this->platform.put(key, next.serialize(), version);
    logEvent(LogLevel::Info, "roster_written",
             {{"number", publication.number},
              {"members", next.members.size()},
              {"result", reply.error ? errorName(reply.error) : "committed"}});
}

} // namespace foxtailtally

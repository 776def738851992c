#include "servers/configuration/roster_document.h"

#include <limits>

namespace foxtailtally {

namespace {

using Member = RosterDocument::Member;

std::vector<Member> readMembers(DocumentReader &reader)
{
    std::vector<Member> members;
    reader.objects("members", [&members](DocumentReader &item) {
        Member member;
        member.id = InstanceId(item.id("id"));
        member.incarnation =
            item.integer("incarnation", 0, std::numeric_limits<std::uint64_t>::max());
        // Holders are chosen by position-independent hashing, but a repeated member would be
        // counted twice in sums over the roster.
        if (!members.empty() && !(members.back().id < member.id))
            item.report(DocumentProblem::Kind::DuplicateId, "id", "ids in rising order");
        members.push_back(std::move(member));
    });
    return members;
}

nlohmann::json membersToJson(const std::vector<Member> &members)
{
    auto list = nlohmann::json::array();
    for (const Member &member : members)
        list.push_back({{"id", member.id.str()}, {"incarnation", member.incarnation}});
    return list;
}

} // namespace

Result<RosterDocument> RosterDocument::parse(std::string_view text, DocumentProblems &problems)
{
    const std::size_t before = problems.size();
    const Result<nlohmann::json> value = parseJson(text, problems);
    if (!value.ok())
        return value.error();
    DocumentReader reader(*value, "", problems);
    RosterDocument roster;
    roster.number = reader.integer("number", 1, std::numeric_limits<std::int64_t>::max());
    roster.author = reader.text("author");
    roster.time = reader.time("time_ms");
    roster.members = readMembers(reader);
    reader.objects("unsettled", [&roster](DocumentReader &item) {
        Unsettled version;
        version.number = item.integer("number", 1, std::numeric_limits<std::int64_t>::max());
        version.members = readMembers(item);
        roster.unsettled.push_back(std::move(version));
    });
    roster.history = PublicationHistory::read(reader);
    if (problems.size() > before)
        return Error::DocumentInvalid;
    return roster;
}

std::string RosterDocument::serialize() const
{
    auto earlier = nlohmann::json::array();
    for (const Unsettled &version : this->unsettled)
        earlier.push_back(
            {{"number", version.number}, {"members", membersToJson(version.members)}});
    return canonicalText({{"number", this->number},
                          {"author", this->author},
                          {"time_ms", unixMillis(this->time)},
                          {"members", membersToJson(this->members)},
                          {"unsettled", earlier},
                          {"history", this->history.toJson()}});
}

} // namespace foxtailtally

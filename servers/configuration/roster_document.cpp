#include "servers/configuration/roster_document.h"

#include <limits>

namespace foxtailtally {

Result<RosterDocument> RosterDocument::parse(std::string_view text, DocumentProblems &problems)
{
    const std::size_t before = problems.size();
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        problems.push_back({DocumentProblem::Kind::Syntax, "", "JSON"});
        return Error::DocumentInvalid;
    }
    DocumentReader reader(value, "", problems);
    RosterDocument roster;
    roster.number = reader.integer("number", 1, std::numeric_limits<std::int64_t>::max());
    roster.author = reader.text("author");
    roster.time = reader.time("time_ms");
    reader.objects("members", [&roster](DocumentReader &item) {
        Member member;
        member.id = InstanceId(item.id("id"));
        member.incarnation =
            item.integer("incarnation", 0, std::numeric_limits<std::uint64_t>::max());
        // Holders are chosen by position-independent hashing, but a repeated member would be
        // counted twice in sums over the roster.
        if (!roster.members.empty() && !(roster.members.back().id < member.id))
            item.report(DocumentProblem::Kind::DuplicateId, "id", "ids in rising order");
        roster.members.push_back(std::move(member));
    });
    roster.history = PublicationHistory::read(reader);
    if (problems.size() > before)
        return Error::DocumentInvalid;
    return roster;
}

std::string RosterDocument::serialize() const
{
    auto list = nlohmann::json::array();
    for (const Member &member : this->members)
        list.push_back({{"id", member.id.str()}, {"incarnation", member.incarnation}});
    return canonicalText({{"number", this->number},
                          {"author", this->author},
                          {"time_ms", unixMillis(this->time)},
                          {"members", list},
                          {"history", this->history.toJson()}});
}

} // namespace foxtailtally

#include "servers/configuration/publication.h"

#include <algorithm>
#include <limits>

namespace foxtailtally {

PublicationHistory PublicationHistory::read(DocumentReader &reader)
{
    PublicationHistory history;
    reader.objects("history", [&history](DocumentReader &item) {
        Publication entry;
        entry.number = item.integer("number", 1, std::numeric_limits<std::int64_t>::max());
        entry.author = item.text("author");
        entry.id = item.text("id");
        history.entries.push_back(std::move(entry));
    });
    if (history.entries.size() > kMaxLength)
        reader.report(DocumentProblem::Kind::TooLarge, "history", "16 entries");
    return history;
}

nlohmann::json PublicationHistory::toJson() const
{
    auto list = nlohmann::json::array();
    for (const Publication &entry : this->entries)
        list.push_back({{"number", entry.number}, {"author", entry.author}, {"id", entry.id}});
    return list;
}

PublicationHistory PublicationHistory::with(Publication next) const
{
    PublicationHistory result;
    result.entries.push_back(std::move(next));
    const std::size_t kept = std::min(this->entries.size(), kMaxLength - 1);
    result.entries.insert(result.entries.end(), this->entries.begin(),
                          this->entries.begin() + static_cast<std::ptrdiff_t>(kept));
    return result;
}

const Publication *PublicationHistory::find(std::uint64_t number) const
{
    const auto found =
        std::find_if(this->entries.begin(), this->entries.end(),
                     [number](const Publication &entry) { return entry.number == number; });
    return found == this->entries.end() ? nullptr : &*found;
}

} // namespace foxtailtally

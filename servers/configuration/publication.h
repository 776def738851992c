#pragma once

#include "servers/configuration/document_reader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailtally {

/**
 * Identifies one attempt to publish a document. The id is unique, so that a publisher whose answer
 * was lost can distinguish its own document from an equal one of another operator.
 */
struct Publication
{
    std::uint64_t number = 0;
    std::string author;
    /** Unique id, such as "<instance>-<incarnation>-<count>". */
    std::string id;

    bool operator==(const Publication &) const = default;
};

/** Recent publications of one document, newest first. */
struct PublicationHistory
{
    /**
     * Long enough to resolve lost answers: that takes seconds, and changes are minutes apart (420 a
     * day).
     */
    static constexpr std::size_t kMaxLength = 16;

    std::vector<Publication> entries;

    static PublicationHistory read(DocumentReader &reader);
    nlohmann::json toJson() const;
    /** The history after @p next, shortened to kMaxLength. */
    PublicationHistory with(Publication next) const;
    /** The publication that took @p number, or null when the history no longer contains it. */
    const Publication *find(std::uint64_t number) const;
    bool operator==(const PublicationHistory &) const = default;
};

} // namespace foxtailtally

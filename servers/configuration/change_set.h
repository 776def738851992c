#pragma once

#include "servers/configuration/release_note.h"

namespace foxtailtally {

/** Time for which a withdrawn model may finish admitted requests: the longest deadline. */
constexpr absl::Duration kModelDrainTime = absl::Minutes(5);

/** Changes that an operator requests. */
struct ChangeSet
{
    std::string author;
    ReleaseState added;
    ReleaseState changed;
    /** Withdrawn entries as "<section>/<id>". */
    std::vector<std::string> withdrawn;

    /**
     * Parses an operator's text. Unknown members are errors, since they are taken for typing
     * mistakes.
     * Error: DocumentInvalid, with every error in @p problems.
     */
    static Result<ChangeSet> parse(std::string_view text, DocumentProblems &problems);

    /**
     * The note that follows @p previous (number 0 when there is none). A withdrawn model drains
     * first; once its draining time is over, the next note drops it with its adapters.
     * Error: DocumentInvalid, with every error in @p problems; paths name the change set's members,
     * or "/state/..." for errors in the resulting state.
     */
    Result<ReleaseNote> applyTo(const ReleaseNote &previous, absl::Time wallNow,
                                std::string_view publicationId, DocumentProblems &problems) const;
};

} // namespace foxtailtally

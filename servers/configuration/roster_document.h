#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "servers/configuration/publication.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Numbered list of the instances of one failure domain that hold shares. */
struct RosterDocument
{
    struct Member
    {
        InstanceId id;
        Incarnation incarnation = 0;
        bool operator==(const Member &) const = default;
    };

    std::uint64_t number = 0;
    /** Instance that wrote the roster. */
    std::string author;
    absl::Time time;
    /** Sorted by id. */
    std::vector<Member> members;
    /** Members of an earlier roster that some process may still apply. */
    struct Unsettled
    {
        std::uint64_t number = 0;
        std::vector<Member> members;
        bool operator==(const Unsettled &) const = default;
    };
    /** Oldest first. */
    std::vector<Unsettled> unsettled;
    PublicationHistory history;

    /** Error: DocumentInvalid, with every error in @p problems. */
    static Result<RosterDocument> parse(std::string_view text, DocumentProblems &problems);
    std::string serialize() const;
};

} // namespace foxtailtally

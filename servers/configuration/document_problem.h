#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** One error in a document or change set, located by a JSON pointer (RFC 6901). */
struct DocumentProblem
{
    enum class Kind {
        Syntax,
        Missing,
        WrongType,
        UnknownMember,
        OutOfRange,
        BadFormat,
        DuplicateId,
        UnknownReference,
        TooLarge,
    };

    Kind kind = Kind::Syntax;
    /** Location of the error, such as "/state/customers/3/key_digest"; empty for the whole text. */
    std::string path;
    /** Allowed values; never contains a secret. */
    std::string allowed;

    std::string describe() const;
};

using DocumentProblems = std::vector<DocumentProblem>;

/** Stable snake_case name for logs and JSON. */
std::string_view problemName(DocumentProblem::Kind kind);

} // namespace foxtailtally

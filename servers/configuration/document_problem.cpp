#include "servers/configuration/document_problem.h"

namespace foxtailtally {

std::string DocumentProblem::describe() const
{
    std::string text = this->path.empty() ? "/" : this->path;
    text.append(": ").append(problemName(this->kind));
    if (!this->allowed.empty())
        text.append(", allowed: ").append(this->allowed);
    return text;
}

std::string_view problemName(DocumentProblem::Kind kind)
{
    switch (kind) {
    case DocumentProblem::Kind::Syntax:
        return "syntax";
    case DocumentProblem::Kind::Missing:
        return "missing";
    case DocumentProblem::Kind::WrongType:
        return "wrong_type";
    case DocumentProblem::Kind::UnknownMember:
        return "unknown_member";
    case DocumentProblem::Kind::OutOfRange:
        return "out_of_range";
    case DocumentProblem::Kind::BadFormat:
        return "bad_format";
    case DocumentProblem::Kind::DuplicateId:
        return "duplicate_id";
    case DocumentProblem::Kind::UnknownReference:
        return "unknown_reference";
    case DocumentProblem::Kind::TooLarge:
        return "too_large";
    }
    return "unknown";
}

} // namespace foxtailtally

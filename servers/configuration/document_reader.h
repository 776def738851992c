#pragma once

#include "core/result.h"
#include "servers/configuration/document_problem.h"

#include <absl/time/time.h>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/**
 * Reads the members of one JSON object and reports every error with its JSON pointer. A member that
 * is missing or malformed reads as an empty value.
 */
class DocumentReader
{
public:
    DocumentReader(const nlohmann::json &value, std::string path, DocumentProblems &problems);

    /** Identifier of 1 to 128 letters, digits, '.', '_' or '-'. */
    std::string id(std::string_view name);
    /** Text of @p minimum to 256 bytes. */
    std::string text(std::string_view name, std::size_t minimum = 1);
    std::vector<std::string> ids(std::string_view name);
    std::vector<std::string> texts(std::string_view name);
    std::uint64_t integer(std::string_view name, std::uint64_t minimum, std::uint64_t maximum);
    bool flag(std::string_view name);
    /** Wall time in milliseconds since 1970. */
    absl::Time time(std::string_view name);

    bool has(std::string_view name) const;
    /** Calls @p use with a reader of the object @p name. */
    void object(std::string_view name, const std::function<void(DocumentReader &)> &use);
    /** Calls @p use with a reader of each object in the array @p name. */
    void objects(std::string_view name, const std::function<void(DocumentReader &)> &use);

    void report(DocumentProblem::Kind kind, std::string_view name, std::string_view allowed);
    /** Reports members that have not been read. */
    void rejectUnknownMembers();

private:
    const nlohmann::json *member(std::string_view name);
    const nlohmann::json *array(std::string_view name);
    std::vector<std::string> strings(std::string_view name, bool identifiers);

    const nlohmann::json &value;
    std::string path;
    DocumentProblems &problems;
    std::vector<std::string> requestedMembers;
};

/** The JSON value of @p text; DocumentInvalid with a syntax problem otherwise. */
Result<nlohmann::json> parseJson(std::string_view text, DocumentProblems &problems);

/** True when @p text is a valid identifier. */
bool isIdentifier(std::string_view text);

/** @p value without spaces and with sorted members: equal values give equal bytes. */
std::string canonicalText(const nlohmann::json &value);

std::uint64_t unixMillis(absl::Time time);

} // namespace foxtailtally

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Reads members of a JSON object sent by a peer. A missing or mistyped member makes ok() false. */
class JsonReader
{
public:
    explicit JsonReader(std::string_view text);
    static JsonReader fromValue(nlohmann::json value);

    bool ok() const { return !this->failed; }
    bool has(std::string_view name) const;
    std::string text(std::string_view name);
    /** Value of an optional text member; empty when it is missing. */
    std::string optionalText(std::string_view name);
    /** Whole number in [0, 2^63). */
    std::int64_t integer(std::string_view name);
    std::int64_t optionalInteger(std::string_view name, std::int64_t fallback);
    /** Whole number in [0, 2^64). */
    std::uint64_t unsignedInteger(std::string_view name);
    bool flag(std::string_view name);
    bool optionalFlag(std::string_view name, bool fallback);
    const nlohmann::json &json() const { return this->object; }
    /** Elements of an array member. */
    std::vector<nlohmann::json> array(std::string_view name);

private:
    JsonReader() = default;
    const nlohmann::json *member(std::string_view name);

    nlohmann::json object;
    bool failed = false;
};

/** Text member "error" of the JSON object @p body, or empty. */
std::string errorMember(std::string_view body);

/** Percent-encodes @p text for a path or query value; unreserved characters and '/' stay. */
std::string urlEncode(std::string_view text);

} // namespace foxtailtally

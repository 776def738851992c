#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Reads members of a JSON object from a peer; a missing or mistyped member makes it not ok(). */
class JsonReader
{
public:
    explicit JsonReader(std::string_view text);
    static JsonReader fromValue(nlohmann::json value);

    bool ok() const { return !this->failed; }
    bool has(std::string_view name) const;
    std::string text(std::string_view name);
    /** Text of an optional member; empty when it is missing. */
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

/** Member "error" of an error body, or empty. */
std::string errorMember(std::string_view body);

/** Path segment or query value with all but unreserved characters and '/' percent-encoded. */
std::string urlEncode(std::string_view text);

} // namespace foxtailtally

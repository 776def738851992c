#include "peers/http/json_reader.h"

#include "peers/http/json_text.h"

#include <cctype>
#include <limits>
#include <utility>

namespace foxtailtally {

JsonReader::JsonReader(std::string_view text)
    : object(parseJson(text))
    , failed(!this->object.is_object())
{ }

JsonReader JsonReader::fromValue(nlohmann::json value)
{
    JsonReader reader;
    reader.failed = !value.is_object();
    reader.object = std::move(value);
    return reader;
}

bool JsonReader::has(std::string_view name) const
{
    return this->object.is_object() && this->object.contains(name);
}

const nlohmann::json *JsonReader::member(std::string_view name)
{
    if (!this->has(name)) {
        this->failed = true;
        return nullptr;
    }
    return &*this->object.find(name);
}

std::string JsonReader::text(std::string_view name)
{
    const nlohmann::json *value = this->member(name);
    if (value == nullptr || !value->is_string()) {
        this->failed = true;
        return {};
    }
    return value->get<std::string>();
}

std::string JsonReader::optionalText(std::string_view name)
{
    return this->has(name) ? this->text(name) : std::string();
}

std::int64_t JsonReader::integer(std::string_view name)
{
    const std::uint64_t value = this->unsignedInteger(name);
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        this->failed = true;
        return 0;
    }
    return static_cast<std::int64_t>(value);
}

std::int64_t JsonReader::optionalInteger(std::string_view name, std::int64_t fallback)
{
    return this->has(name) ? this->integer(name) : fallback;
}

std::uint64_t JsonReader::unsignedInteger(std::string_view name)
{
    const nlohmann::json *value = this->member(name);
    if (value == nullptr || !value->is_number_unsigned()) {
        this->failed = true;
        return 0;
    }
    return value->get<std::uint64_t>();
}

bool JsonReader::flag(std::string_view name)
{
    const nlohmann::json *value = this->member(name);
    if (value == nullptr || !value->is_boolean()) {
        this->failed = true;
        return false;
    }
    return value->get<bool>();
}

bool JsonReader::optionalFlag(std::string_view name, bool fallback)
{
    return this->has(name) ? this->flag(name) : fallback;
}

std::vector<nlohmann::json> JsonReader::array(std::string_view name)
{
    const nlohmann::json *value = this->member(name);
    if (value == nullptr || !value->is_array()) {
        this->failed = true;
        return {};
    }
    return {value->begin(), value->end()};
}

std::string errorMember(std::string_view body)
{
    JsonReader reader(body);
    return reader.optionalText("error");
}

std::string urlEncode(std::string_view text)
{
    constexpr std::string_view kHex = "0123456789ABCDEF";
    constexpr std::string_view kUnreserved = "-._~/";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || kUnreserved.find(c) != std::string_view::npos) {
            encoded.push_back(c);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(kHex[byte >> 4U]);
        encoded.push_back(kHex[byte & 15U]);
    }
    return encoded;
}

} // namespace foxtailtally

#include "tests/fuzz/byte_mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace foxtailtally {

namespace {

using namespace std::string_view_literals;

/** Longest message, in bytes. */
constexpr std::size_t kMaxBytes = 400000;
constexpr std::size_t kMaxNesting = 140000;

constexpr std::array kTokens = {
    "1e999"sv,
    "-1"sv,
    "0"sv,
    "9223372036854775807"sv,
    "18446744073709551615"sv,
    "-9e18"sv,
    "1e-9"sv,
    "99999"sv,
    "4294967296"sv,
    "123456789012345678901234567890"sv,
    "NaN"sv,
    "inf"sv,
    "-inf"sv,
    "null"sv,
    "true"sv,
    "{}"sv,
    "[]"sv,
    "\"\""sv,
    "\"\\ud800\""sv,
    "\"\\u0000\""sv,
    "\xff"sv,
    "\0"sv,
    "\r\n"sv,
    "\r\n\r\n"sv,
    ","sv,
    ":"sv,
    "\""sv,
    "\\"sv,
    "{"sv,
    "}"sv,
    "["sv,
    "]"sv,
    "Name"sv,
    "\"Spec\":"sv,
    "127.0.0.1:99999"sv,
    "data: "sv,
    "id: "sv,
    "\n\n"sv,
    "="sv,
    "%00"sv,
};

/** End of the value that begins at @p begin: of a JSON value, a number or a header. */
std::size_t valueEnd(std::string_view bytes, std::size_t begin)
{
    std::size_t depth = 0;
    for (std::size_t i = begin; i < bytes.size(); ++i) {
        const char c = bytes[i];
        if (c == '{' || c == '[')
            ++depth;
        else if ((c == '}' || c == ']') && depth > 0 && --depth == 0)
            return i + 1;
        else if (depth == 0 && std::string_view(",}]\r\n").find(c) != std::string_view::npos)
            return i;
    }
    return bytes.size();
}

} // namespace

std::string ByteMutator::mutated(std::span<const std::string> samples)
{
    std::string bytes = samples[this->random.below(samples.size())];
    const std::uint64_t changes = 1 + this->random.below(2) * this->random.below(8);
    for (std::uint64_t i = 0; i < changes; ++i)
        this->change(bytes, samples);
    bytes.resize(std::min(bytes.size(), kMaxBytes));
    return bytes;
}

void ByteMutator::change(std::string &bytes, std::span<const std::string> samples)
{
    const std::size_t at = this->position(bytes);
    switch (this->random.below(9)) {
    case 0:
        if (at < bytes.size())
            bytes[at] = static_cast<char>(this->random.next());
        return;
    case 1:
        if (at < bytes.size())
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << this->random.below(8)));
        return;
    case 2:
        bytes.erase(at, this->length(20));
        return;
    case 3:
        bytes.insert(at, kTokens[this->random.below(kTokens.size())]);
        return;
    case 4:
        bytes.insert(at, bytes.substr(this->position(bytes), this->length(200)));
        return;
    case 5: {
        const std::string &other = samples[this->random.below(samples.size())];
        bytes.replace(at, this->length(100),
                      other.substr(this->position(other), this->length(100)));
        return;
    }
    case 6:
        if (this->random.below(8) == 0)
            bytes.resize(at);
        else if (this->random.below(8) == 0)
            bytes.insert(at, this->length(kMaxNesting), this->random.below(2) == 0 ? '[' : '9');
        return;
    default:
        this->replaceValue(bytes);
        return;
    }
}

void ByteMutator::replaceValue(std::string &bytes)
{
    std::size_t begin = bytes.find_first_of(":=,", this->position(bytes));
    if (begin == std::string::npos)
        return;
    begin = std::min(bytes.find_first_not_of(' ', begin + 1), bytes.size());
    std::string value(kTokens[this->random.below(kTokens.size())]);
    if (this->random.below(16) == 0)
        value = std::string(kMaxNesting, '[') + std::string(kMaxNesting, ']');
    bytes.replace(begin, valueEnd(bytes, begin) - begin, value);
}

} // namespace foxtailtally

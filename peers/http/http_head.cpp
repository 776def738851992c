#include "peers/http/http_head.h"

#include "core/text.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <http_parser.h>

namespace foxtailtally {

namespace {

bool sameName(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(asAbsl(a), asAbsl(b));
}

constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection", "Keep-Alive",          "Proxy-Connection",  "TE",     "Trailer",
    "Upgrade",    "Proxy-Authorization", "Transfer-Encoding", "Expect",
};

bool isHopByHop(std::string_view name)
{
    return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                       [name](std::string_view other) { return sameName(name, other); });
}

} // namespace

void HttpHeaders::add(std::string_view name, std::string_view value)
{
    this->entries.push_back({std::string(name), std::string(value)});
}

const std::string *HttpHeaders::find(std::string_view name) const
{
    for (const HttpHeader &header : this->entries) {
        if (sameName(header.name, name))
            return &header.value;
    }
    return nullptr;
}

std::string_view HttpHeaders::valueOr(std::string_view name, std::string_view fallback) const
{
    const std::string *value = this->find(name);
    return value ? std::string_view(*value) : fallback;
}

std::size_t HttpHeaders::memoryBytes() const
{
    // The vector grows by doubling.
    std::size_t bytes = 2 * sizeof(HttpHeader) * this->entries.size();
    for (const HttpHeader &header : this->entries)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

std::size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [name](const HttpHeader &header) { return sameName(header.name, name); }));
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(this->entries,
                  [name](const HttpHeader &header) { return sameName(header.name, name); });
}

void HttpHeaders::removeHopByHop()
{
    absl::flat_hash_set<std::string> named;
    for (const HttpHeader &header : this->entries) {
        if (!sameName(header.name, "Connection"))
            continue;
        for (absl::string_view token : absl::StrSplit(header.value, ','))
            named.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(token)));
    }
    std::erase_if(this->entries, [&named](const HttpHeader &header) {
        return isHopByHop(header.name)
            || (!named.empty() && named.contains(absl::AsciiStrToLower(header.name)));
    });
}

bool isResponseStatus(int status)
{
    return status >= 100 && status < 600 && status != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

bool isHeaderNameCharacter(char character)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(character))
        || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool isHeaderName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isHeaderNameCharacter);
}

bool mayHaveBody(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace foxtailtally

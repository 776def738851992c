#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

struct HttpHeader
{
    std::string name;
    std::string value;
};

/** Headers of one message in order of arrival. Names are compared case-insensitively. */
class HttpHeaders
{
public:
    void add(std::string_view name, std::string_view value);
    /** Value of the first header called @p name; null when there is none. */
    const std::string *find(std::string_view name) const;
    std::string_view valueOr(std::string_view name, std::string_view fallback) const;
    std::size_t count(std::string_view name) const;
    /** Memory that the headers take, about. */
    std::size_t memoryBytes() const;
    void remove(std::string_view name);
    /** Removes hop-by-hop headers, including those listed in the Connection header. */
    void removeHopByHop();
    void clear() { this->entries.clear(); }

    const std::vector<HttpHeader> &all() const { return this->entries; }
    std::vector<HttpHeader> &all() { return this->entries; }

private:
    std::vector<HttpHeader> entries;
};

struct RequestHead
{
    std::string method;
    /** Request target as the caller sent it. */
    std::string target;
    /** Path of the target without its query. */
    std::string path;
    /** From the Host header, or from an absolute target. */
    std::string host;
    HttpHeaders headers;
};

struct ResponseHead
{
    int status = 0;
    HttpHeaders headers;
    /** True when the body has a length or a last chunk, instead of ending with the connection. */
    bool isFramed = false;
};

/** Whether @p status may be that of a response: the range of RFC 9110, section 15, but for 101,
 * since no request asks for another protocol. */
bool isResponseStatus(int status);

/** Whether @p character may be part of a header's name: a token of RFC 9110, section 5.6.2. */
bool isHeaderNameCharacter(char character);
bool isHeaderName(std::string_view name);

/** Whether a response with @p status may have a body, to a method other than HEAD. */
bool mayHaveBody(int status);

std::string_view reasonPhrase(int status);

} // namespace foxtailtally

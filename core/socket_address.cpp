#include "core/socket_address.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace foxtailtally {

bool parseAddress(const std::string &address, sockaddr_in &result)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
    result = {};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    return error == std::errc() && stop == end && port > 0
        && inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) == 1;
}

} // namespace foxtailtally

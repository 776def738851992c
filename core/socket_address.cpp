#include "core/socket_address.h"

#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>

namespace foxtailtally {

bool parseAddress(const std::string &address, sockaddr_in &result)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    const unsigned long port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
    result = {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    return port > 0 && port <= UINT16_MAX
        && inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) == 1;
}

} // namespace foxtailtally

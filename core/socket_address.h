#pragma once

#include <netinet/in.h>
#include <string>

namespace foxtailtally {

/** Parses "ip:port". */
bool parseAddress(const std::string &address, sockaddr_in &result);

} // namespace foxtailtally

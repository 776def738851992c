#pragma once

#include "peers/http/http_server.h"

#include <string>
#include <string_view>

namespace foxtailtally {

/** Checks the operators' bearer token in constant time. */
class OperatorAccess
{
public:
    explicit OperatorAccess(std::string token);

    bool allows(const HttpRequest &request) const;

private:
    std::string token;
};

} // namespace foxtailtally

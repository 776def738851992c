#pragma once

#include "peers/http/http_server.h"

#include <string>
#include <string_view>

namespace foxtailtally {

/** Compares a request's bearer token with the operators' token in constant time. */
class OperatorAccess
{
public:
    explicit OperatorAccess(std::string token);

    bool allows(const HttpRequest &request) const;

private:
    std::string token;
};

} // namespace foxtailtally

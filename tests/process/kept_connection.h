#pragma once

#include "tests/process/http_caller.h"

#include <string>

namespace foxtailtally {

/**
 * A caller's connection to one gateway that is used for many requests, until the gateway closes it.
 * Unlike curl it never sends a request a second time by itself.
 */
class KeptConnection
{
public:
    /** @p address: "ip:port" of the gateway. */
    explicit KeptConnection(std::string address);
    ~KeptConnection();
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    /** Sends @p request, on a new connection if there is none open, and waits for the response. */
    CallerAnswer call(const CallerRequest &request);

private:
    bool connect();
    void close();

    std::string address;
    int socket = -1;
};

} // namespace foxtailtally

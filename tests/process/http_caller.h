#pragma once

#include <absl/time/time.h>
#include <functional>
#include <string>
#include <vector>

namespace foxtailtally {

/** A request that a test sends as a caller. */
struct CallerRequest
{
    /** "ip:port" of a gateway. */
    std::string address;
    std::string method = "POST";
    std::string host = "desk.example";
    std::string path;
    std::string body;
    std::vector<std::string> headers;
    absl::Duration limit = absl::Seconds(10);
};

struct CallerAnswer
{
    /** Zero when no response arrived. */
    int status = 0;
    /** True when the body was complete according to its framing. */
    bool isComplete = false;
    std::string body;
    /** All header lines. */
    std::string head;
    absl::Duration took = absl::ZeroDuration();
    /** The gateway closed a KeptConnection before the response was complete. */
    bool wasClosedByPeer = false;

    bool hasHeader(const std::string &line) const
    {
        return this->head.find(line) != std::string::npos;
    }
};

/** Sends @p request on a new connection and waits for the response. */
CallerAnswer callGateway(const CallerRequest &request);

} // namespace foxtailtally

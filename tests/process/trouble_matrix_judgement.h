#pragma once

#include "tests/process/trouble_matrix_cell.h"

#include <absl/time/time.h>
#include <string>
#include <vector>

namespace foxtailtally {

/** What a caller saw of one request on its socket. */
struct MatrixAnswer
{
    /** Zero when the connection ended, or the wait, before the head of a response. */
    int status = 0;
    /** The body is complete according to its framing. */
    bool isComplete = false;
    /** The response carries a server's signature. */
    bool isSigned = false;
    /** The gateway closed or reset the connection. */
    bool wasClosed = false;
    /** The response says that it is the last one of its connection. */
    bool announcesClose = false;
    /** The request that the response names; empty when it names none. */
    std::string callId;
    std::string body;
    /** From the last byte of the request to the end of the response. */
    absl::Duration took = absl::ZeroDuration();
};

/** What else than success a request may get. */
struct MatrixEntitlement
{
    std::vector<int> statuses;
    /** The connection may end before the request has been passed on. */
    bool mayCloseUnread = false;
    /** Empty when only success is allowed, or what the rules allow beside a trouble. */
    std::string reason;
};

/** One request and what callers and servers saw of it. */
struct MatrixOutcome
{
    MatrixCell cell;
    /** A request that follows that of the cell. */
    bool isNext = false;
    /** The request was sent only when the change was about to come, so it may be admitted after it.
     */
    bool isLate = false;
    MatrixKind kind = MatrixKind::Read;
    std::string expectedBody;
    /** Time after which the request may fail: its route's timeout or its deadline. */
    absl::Duration time = absl::ZeroDuration();
    MatrixAnswer answer;
    /** Times that servers began to run the request, without the resumptions of its stream. */
    int runs = 0;
    /** A server crashed after it had got the request. */
    bool hasMetCrash = false;
    /** The response before it on its connection was announced as the last one. */
    bool isBehindLastAnswer = false;
    std::string callId;
};

/** What the request of @p outcome may get because of the change or the trouble of its cell. */
MatrixEntitlement entitlementOf(const MatrixOutcome &outcome);

/** Descriptions of broken rules; empty when there are none. */
std::vector<std::string> judge(const MatrixOutcome &outcome);

} // namespace foxtailtally

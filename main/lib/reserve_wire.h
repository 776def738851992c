#pragma once

#include "core/result.h"
#include "peers/instance/envelope.h"
#include "peers/instance/messages.h"
#include "servers/session/request_session.h"

namespace foxtailtally {

/** Reply to a ReserveRequest; an error becomes a refusal with RefusalReason::NotOwner. */
ReserveReplyMessage toMessage(const Result<ReserveReply> &reply);
/** Parses the reply to a ReserveRequest; the group is left empty. */
Result<ReserveReply> toReserveReply(const Result<Envelope> &envelope);

} // namespace foxtailtally

#include "main/lib/reserve_wire.h"

namespace foxtailtally {

ReserveReplyMessage toMessage(const Result<ReserveReply> &reply)
{
    ReserveReplyMessage message;
    if (reply.ok())
        message = {reply->granted, reply->grant, reply->addresses, reply->incarnations,
                   reply->refusal};
    else
        message.refusal = {RefusalReason::NotOwner, true, absl::Milliseconds(500)};
    return message;
}

Result<ReserveReply> toReserveReply(const Result<Envelope> &envelope)
{
    if (!envelope.ok())
        return envelope.error();
    const auto message = unpackMessage<ReserveReplyMessage>(envelope->payload);
    if (!message.ok())
        return message.error();
    return ReserveReply {{},
                         message->granted,
                         message->grant,
                         message->addresses,
                         message->incarnations,
                         message->refusal};
}

} // namespace foxtailtally

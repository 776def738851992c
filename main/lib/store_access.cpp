#include "main/lib/store_access.h"

namespace foxtailtally {

namespace {

StoreOutcome readOutcome(std::error_code error)
{
    if (error == Error::StoreNotFound)
        return StoreOutcome::NotFound;
    const bool isDefinite = error == Error::RateLimited || error == Error::StoreUnavailable;
    return isDefinite ? StoreOutcome::Unavailable : StoreOutcome::Lost;
}

StoreReply replyTo(std::uint64_t token, const WriteReply &written)
{
    StoreReply reply;
    reply.token = token;
    reply.version = written.version;
    if (written.outcome == WriteOutcome::Committed)
        reply.outcome = StoreOutcome::Ok;
    else if (written.outcome == WriteOutcome::Unknown)
        reply.outcome = StoreOutcome::Lost;
    else
        reply.outcome = written.error == Error::StoreConflict ? StoreOutcome::Conflict
                                                              : StoreOutcome::Unavailable;
    return reply;
}

StoreReply perform(const PlatformClient &platform, const StoreRead &call)
{
    const Result<StoredObject> object = platform.get(call.key);
    StoreReply reply;
    reply.token = call.token;
    reply.outcome = object.ok() ? StoreOutcome::Ok : readOutcome(object.error());
    if (object.ok()) {
        reply.version = object->version;
        reply.value = object->value;
    }
    return reply;
}

StoreReply perform(const PlatformClient &platform, const StoreList &call)
{
    const auto objects = platform.list(call.prefix);
    StoreReply reply;
    reply.token = call.token;
    reply.outcome = objects.ok() ? StoreOutcome::Ok : readOutcome(objects.error());
    if (!objects.ok())
        return reply;
    for (const StoredObject &object : *objects) {
        if (object.key > call.after)
            reply.items.push_back({object.key, object.version, object.value});
    }
    return reply;
}

StoreReply perform(const PlatformClient &platform, const StoreWrite &call)
{
    return replyTo(call.token, platform.put(call.key, call.value, call.ifVersion));
}

StoreReply perform(const PlatformClient &platform, const StoreDelete &call)
{
    return replyTo(call.token, platform.remove(call.key, call.ifVersion));
}

} // namespace

StoreReply performStoreCall(const PlatformClient &platform, const StoreCall &call)
{
    return std::visit([&platform](const auto &typed) { return perform(platform, typed); }, call);
}

} // namespace foxtailtally

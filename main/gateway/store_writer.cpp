#include "main/gateway/store_writer.h"

#include "core/error.h"
#include "core/text.h"

#include <absl/strings/str_cat.h>

namespace foxtailtally {

namespace {

/** Timeout of store responses; the store responds within milliseconds, and within a quarter of a
 * second while it is slow. */
constexpr absl::Duration kStoreAnswerTimeout = absl::Milliseconds(900);

} // namespace

StoreWriter::StoreWriter(event_base *base, const std::string &storeAddress,
                         StoreWriterEvents &events)
    : base(base)
    , storeAddress(storeAddress)
    , events(events)
    , timeout(base, [this] {
        this->connection->cancel();
        this->events.onNoStoreAnswer("no answer");
    })
{ }

void StoreWriter::send(std::string_view method, std::string_view target, std::string_view body)
{
    this->status = 0;
    IdleEvents &idleEvents = *this;
    // A connection that has lost a response returns no further ones.
    this->connection =
        std::make_unique<OutboundConnection>(this->base, this->storeAddress, idleEvents);
    this->connection->call(
        absl::StrCat(asAbsl(method), " ", asAbsl(target), " HTTP/1.1\r\nHost: ", this->storeAddress,
                     "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
                     "\r\n\r\n", asAbsl(body)),
        false, {}, *this);
    this->timeout.start(kStoreAnswerTimeout);
}

void StoreWriter::onResponseHead(OutboundConnection &, const ResponseHead &head)
{
    this->status = head.status;
}

void StoreWriter::onResponseBody(OutboundConnection &, std::string_view)
{ }

void StoreWriter::onResponseComplete(OutboundConnection &)
{
    this->timeout.stop();
    this->events.onStoreAnswer(this->status);
}

void StoreWriter::onCallFailed(OutboundConnection &, std::error_code error)
{
    this->timeout.stop();
    this->events.onNoStoreAnswer(errorName(error));
}

void StoreWriter::onIdleClosed(OutboundConnection &)
{
    // Each call opens its own connection.
}

} // namespace foxtailtally

#include "peers/engine/completion_stream.h"

#include "peers/engine/engine_errors.h"

#include <utility>

namespace foxtailtally {

namespace {

constexpr int kStatusOk = 200;
/** Only the error name is needed from an error body. */
constexpr std::size_t kMaxErrorBytes = 4096;

} // namespace

CompletionStream::CompletionStream(std::int64_t firstOffset,
                                   std::shared_ptr<CompletionListener> listener)
    : listener(std::move(listener))
    , parser(firstOffset)
{ }

void CompletionStream::onStatus(int newStatus)
{
    this->status = newStatus;
}

void CompletionStream::onData(std::string_view data)
{
    if (this->status != kStatusOk) {
        this->errorBody.append(
            data.substr(0, kMaxErrorBytes - std::min(kMaxErrorBytes, this->errorBody.size())));
        return;
    }
    if (this->streamError) {
        return;
    }
    this->tokens.clear();
    this->streamError = this->parser.feed(data, this->tokens);
    for (const CompletionToken &token : this->tokens) {
        this->listener->onToken(token.offset, token.text);
    }
}

void CompletionStream::onDone(std::error_code error)
{
    CompletionEnd end;
    end.error = this->endError(error);
    end.nextOffset = this->parser.nextOffset();
    end.cachedTokens = this->parser.cachedTokens();
    // Engines send error responses only before they start on a request.
    end.isNotRun = error == Error::ConnectionFailed
        || (!error && this->status != kStatusOk && isEngineRefusal(end.error));
    this->listener->onDone(end);
}

std::error_code CompletionStream::endError(std::error_code error) const
{
    if (this->streamError) {
        return this->streamError;
    }
    // The answer is complete once the final event was parsed, however the connection ended.
    if (this->status == kStatusOk && this->parser.isDone()) {
        return {};
    }
    if (error) {
        return error;
    }
    if (this->status != kStatusOk) {
        return engineError(this->status, this->errorBody);
    }
    return Error::ConnectionLost;
}

} // namespace foxtailtally

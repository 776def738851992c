#pragma once

#include "peers/engine/completion_parser.h"
#include "peers/engine/engine_server.h"
#include "peers/http/http_client.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** Converts the HTTP response of a completion into tokens and one final CompletionEnd. */
class CompletionStream final : public HttpStreamListener
{
public:
    CompletionStream(std::int64_t firstOffset, std::shared_ptr<CompletionListener> listener);

    void onStatus(int status) override;
    void onData(std::string_view data) override;
    void onDone(std::error_code error) override;

private:
    std::error_code endError(std::error_code error) const;

    std::shared_ptr<CompletionListener> listener;
    CompletionParser parser;
    std::vector<CompletionToken> tokens;
    int status = 0;
    std::string errorBody;
    std::error_code streamError;
};

} // namespace foxtailtally

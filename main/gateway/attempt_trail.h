#pragma once

#include <absl/time/time.h>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailtally {

/** An attempt of a call that ended without the call's response. */
struct AttemptTrace
{
    std::string server;
    /** The call was written to the connection. */
    bool wasWritten = false;
    absl::Time sentAt = absl::InfinitePast();
    /** InfinitePast if the server sent nothing. */
    absl::Time lastByteAt = absl::InfinitePast();
    /** Static text. */
    std::string_view end;
};

/** The latest attempts of one call that ended without its response. */
class AttemptTrail
{
public:
    /** Bounds the memory of a call that many servers reject, and the length of its log line. */
    static constexpr std::size_t kMaxTraces = 8;
    /** End of an attempt that was in flight when its call ended. */
    static constexpr std::string_view kCancelled = "cancelled";

    void add(AttemptTrace trace)
    {
        if (this->kept.size() == kMaxTraces) {
            this->kept.erase(this->kept.begin());
            ++this->omittedTraces;
        }
        this->kept.push_back(std::move(trace));
    }
    std::span<const AttemptTrace> traces() const { return this->kept; }
    /** Earlier attempts that are no longer kept. */
    std::size_t omitted() const { return this->omittedTraces; }

private:
    std::vector<AttemptTrace> kept;
    std::size_t omittedTraces = 0;
};

} // namespace foxtailtally

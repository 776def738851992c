#pragma once

#include "core/event_loop.h"
#include "peers/platform/platform_client.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace foxtailtally {

/** The platform's instance list as this instance knows it. */
struct InstanceListSnapshot
{
    std::vector<InstanceEntry> entries;
    /** Hash of @ref text; 0 when there is no list. */
    std::uint64_t digest = 0;
    /** JSON form for other instances. */
    std::string text;
    /** The list was not requested before this time. */
    absl::Time requestedAt = absl::InfinitePast();
};

/** Error: ProtocolViolation. */
Result<InstanceListSnapshot> parseInstanceList(std::string text, absl::Time requestedAt);

/**
 * Reads the instance list from the platform on the instances that watch it. All others get it from
 * one of these, so that the calls to the platform do not grow with the number of instances.
 */
class PlatformList
{
public:
    using Changed = std::function<void(const InstanceListSnapshot &list)>;

    /** @p changed is called on the list's own loop for every list read. */
    PlatformList(const PlatformClient &platform, absl::Duration period, Changed changed);
    PlatformList(const PlatformList &) = delete;
    PlatformList &operator=(const PlatformList &) = delete;
    ~PlatformList() = default;

    /** Whether this instance reads the platform itself. */
    void setWatching(bool isWatching) { this->watching.store(isWatching); }
    void stop() { this->loop.stop(); }

private:
    void read();

    const PlatformClient &platform;
    Changed reportChanged;
    /** The latest list; used by the loop only. */
    InstanceListSnapshot last;
    std::atomic<bool> watching {true};
    EventLoop loop;
};

} // namespace foxtailtally

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace foxtailtally {

/** Reads one platform object. */
struct StoreRead
{
    std::uint64_t token = 0;
    std::string key;
};

/** Lists objects with a key prefix, in key order, from the key after @ref after. */
struct StoreList
{
    std::uint64_t token = 0;
    std::string prefix;
    std::string after;
};

/** Writes an object that has version @ref ifVersion; 0 means that it must not exist. */
struct StoreWrite
{
    std::uint64_t token = 0;
    std::string key;
    std::uint64_t ifVersion = 0;
    std::string value;
};

/** Deletes an object that has version @ref ifVersion. */
struct StoreDelete
{
    std::uint64_t token = 0;
    std::string key;
    std::uint64_t ifVersion = 0;
};

using StoreCall = std::variant<StoreRead, StoreList, StoreWrite, StoreDelete>;

struct StoreItem
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

enum class StoreOutcome : std::uint8_t {
    Ok,
    NotFound,
    /** The object does not have the expected version; nothing was changed. */
    Conflict,
    /** The call was certainly not executed, for example rate limited. */
    Unavailable,
    /** No answer: a write may have taken effect, or may still do so. */
    Lost,
};

/** Answer to the call with the same token. */
struct StoreReply
{
    std::uint64_t token = 0;
    StoreOutcome outcome = StoreOutcome::Lost;
    /** Version of the object read, or after the write. */
    std::uint64_t version = 0;
    std::string value;
    /** Objects of a list call. */
    std::vector<StoreItem> items;
    /** The list continues after the last item. */
    bool more = false;
};

} // namespace foxtailtally

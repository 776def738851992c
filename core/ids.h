#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailtally {

/** A string identifier that cannot be mixed up with an identifier of another kind. */
template <typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string text)
        : text(std::move(text))
    { }

    const std::string &str() const { return this->text; }
    bool isEmpty() const { return this->text.empty(); }

    // clang-tidy 14 mistakes the zero of the rewritten comparison for a null pointer.
    auto operator<=>(const StrongId &) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const StrongId &) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const StrongId &id)
    {
        return H::combine(std::move(state), id.text);
    }

    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.text;
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->text);
    }

private:
    std::string text;
};

using InstanceId = StrongId<struct InstanceTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
using CustomerId = StrongId<struct CustomerTag>;
using BackendServerId = StrongId<struct BackendServerTag>;
using GroupId = StrongId<struct GroupTag>;
using ModelId = StrongId<struct ModelTag>;
using AdapterId = StrongId<struct AdapterTag>;
using RequestId = StrongId<struct RequestTag>;

/** Number of one run of a process; a higher number is newer. */
using Incarnation = std::uint64_t;

} // namespace foxtailtally

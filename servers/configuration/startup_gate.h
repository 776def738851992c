#pragma once

#include "core/ids.h"
#include "servers/configuration/document.h"

#include <absl/container/btree_map.h>
#include <absl/types/span.h>
#include <array>
#include <optional>
#include <vector>

namespace foxtailtally {

/**
 * Keeps a starting instance from using a document older than one it had in force before its
 * restart. For each kind it needs the platform's answer, or the answer of every seed peer of its
 * own failure domain. An answer of a peer that is itself starting does not count: two instances
 * that restart together both hold no documents, and then only the platform knows the number.
 *
 * The seed lists of a domain's instances must name one another.
 */
class StartupGate
{
public:
    /** @p seedPeers: the other instances of the own domain in the settings' seed list. */
    explicit StartupGate(absl::Span<const InstanceId> seedPeers);

    /** The platform's object was read; @p number is 0 when it does not exist. */
    void onPlatformAnswer(DocumentKind kind, std::uint64_t number);
    void onPeerAnswer(const InstanceId &peer, DocumentKind kind, bool isSettled,
                      std::uint64_t number);

    /** Lowest number that may be used, or none while it is not known. */
    std::optional<std::uint64_t> requiredNumber(DocumentKind kind) const;
    /** Highest number in the answers of settled peers; 0 without answers. */
    std::uint64_t highestPeerAnswer(DocumentKind kind) const;
    /** True when @p held reaches the required number of every kind. */
    bool isOpenFor(const DocumentNumbers &held) const;

    bool isSeed(const InstanceId &peer) const;
    /** Seed peers without a settled answer for @p kind. */
    std::vector<InstanceId> unanswered(DocumentKind kind) const;

private:
    struct Answers
    {
        bool isAnsweredByAllPeers() const;

        std::optional<std::uint64_t> platform;
        absl::btree_map<InstanceId, std::optional<std::uint64_t>> peers;
    };

    std::array<Answers, kDocumentKindCount> answers;
};

} // namespace foxtailtally

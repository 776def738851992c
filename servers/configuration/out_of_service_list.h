#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "servers/configuration/publication.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Numbered list of the failure domains and instances that operators took out of service. */
struct OutOfServiceList
{
    struct Entry
    {
        std::string id;
        std::string author;
        /** Wall time at which the operator took it out of service. */
        absl::Time time;
        bool operator==(const Entry &) const = default;
    };

    std::uint64_t number = 0;
    std::string author;
    absl::Time time;
    std::vector<Entry> failureDomains;
    std::vector<Entry> instances;
    PublicationHistory history;

    /** Error: DocumentInvalid, with every error in @p problems. */
    static Result<OutOfServiceList> parse(std::string_view text, DocumentProblems &problems);
    std::string serialize() const;

    bool isOutOfService(const FailureDomainId &domain) const;
    bool isOutOfService(const InstanceId &instance) const;

    /**
     * The list that follows this one with @p domain taken out (@p isOutOfService) or returned to
     * service. An entry that is already out of service keeps its first author and time.
     */
    OutOfServiceList withDomain(const FailureDomainId &domain, bool isOutOfService,
                                const Publication &publication, absl::Time wallNow) const;
    /** Same for one instance. */
    OutOfServiceList withInstance(const InstanceId &instance, bool isOutOfService,
                                  const Publication &publication, absl::Time wallNow) const;
};

} // namespace foxtailtally

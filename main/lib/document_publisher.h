#pragma once

#include "core/ids.h"
#include "peers/platform/platform_client.h"
#include "servers/configuration/document_problem.h"
#include "servers/configuration/out_of_service_list.h"
#include "servers/configuration/publisher.h"
#include "servers/configuration/release_note.h"

#include <atomic>
#include <functional>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Result of an operator's change. */
struct ChangeResult
{
    /** No error if the change is accepted; with DocumentInvalid, @ref problems is set. */
    std::error_code error;
    std::uint64_t number = 0;
    /** Set with DocumentConflict. */
    Publication winner;
    DocumentProblems problems;
};

/** Publishes operators' changes to the platform. All calls block until the outcome is known. */
class DocumentPublisher
{
public:
    DocumentPublisher(std::string publicationPrefix, const PlatformClient &platform);

    /** Parses and applies @p changeSet to the current note without publishing it. */
    ChangeResult validateNote(std::string_view changeSet) const;
    ChangeResult publishNote(std::string_view changeSet);
    ChangeResult setDomainOutOfService(const FailureDomainId &domain, bool isOutOfService,
                                       const std::string &author);
    ChangeResult setInstanceOutOfService(const InstanceId &instance, bool isOutOfService,
                                         const std::string &author);

private:
    struct Current
    {
        std::error_code error;
        std::uint64_t version = 0;
        std::string body;
    };
    using OutOfServiceChange =
        std::function<OutOfServiceList(const OutOfServiceList &, const Publication &, absl::Time)>;

    Current read(const std::string &key) const;
    Result<ReleaseNote> nextNote(std::string_view changeSet, const std::string &id,
                                 Current &current, ChangeResult &result) const;
    ChangeResult changeOutOfServiceList(const std::string &author,
                                        const OutOfServiceChange &change);
    ChangeResult publish(const std::string &key, std::uint64_t version,
                         const Publication &publication, const std::string &body) const;
    std::string nextId();

    std::string prefix;
    const PlatformClient &platform;
    std::atomic<std::uint64_t> publicationCount {0};
};

} // namespace foxtailtally

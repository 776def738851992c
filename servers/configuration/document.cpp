#include "servers/configuration/document.h"

#include "core/hash.h"

namespace foxtailtally {

std::string_view documentKindName(DocumentKind kind)
{
    switch (kind) {
    case DocumentKind::ReleaseNote:
        return "release_note";
    case DocumentKind::OutOfServiceList:
        return "out_list";
    case DocumentKind::Roster:
        return "roster";
    }
    return "unknown";
}

std::string documentKey(DocumentKind kind, const FailureDomainId &domain)
{
    switch (kind) {
    case DocumentKind::ReleaseNote:
        return "notes/current";
    case DocumentKind::OutOfServiceList:
        return "operations/out";
    case DocumentKind::Roster:
        return "rosters/" + domain.str();
    }
    return {};
}

Document Document::make(DocumentKind kind, std::uint64_t number, std::string body)
{
    const Fingerprint digest = fingerprintOf(body);
    return {kind, number, std::move(body), digest};
}

bool Document::isIntact() const
{
    return fingerprintOf(this->body) == this->digest;
}

} // namespace foxtailtally

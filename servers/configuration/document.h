#pragma once

#include "core/ids.h"
#include "core/request.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Documents that are distributed to instances. Values are part of the wire format. */
enum class DocumentKind : std::uint8_t {
    ReleaseNote = 0,
    OutOfServiceList = 1,
    /** Roster of the instance's own failure domain. */
    Roster = 2,
};

constexpr std::size_t kDocumentKindCount = 3;
constexpr std::array<DocumentKind, kDocumentKindCount> kDocumentKinds = {
    DocumentKind::ReleaseNote, DocumentKind::OutOfServiceList, DocumentKind::Roster};

/** Document numbers, indexed by kind; 0 means no document. */
using DocumentNumbers = std::array<std::uint64_t, kDocumentKindCount>;

constexpr std::size_t indexOf(DocumentKind kind)
{
    return static_cast<std::size_t>(kind);
}

/** Stable snake_case name for logs, metrics and JSON. */
std::string_view documentKindName(DocumentKind kind);

/** Key of the platform object that holds the document; @p domain is used for rosters only. */
std::string documentKey(DocumentKind kind, const FailureDomainId &domain);

/** One numbered document as it is stored and sent. */
struct Document
{
    DocumentKind kind = DocumentKind::ReleaseNote;
    /** Rises with each accepted change; 1 is the first. */
    std::uint64_t number = 0;
    /** Canonical JSON text. */
    std::string body;
    /** Digest of @ref body. */
    Fingerprint digest {};

    static Document make(DocumentKind kind, std::uint64_t number, std::string body);
    /** True when the digest belongs to the body. */
    bool isIntact() const;
};

} // namespace foxtailtally

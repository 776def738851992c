#include "peers/operator/operator_access.h"

#include "core/hash.h"
#include "peers/caller/completion_call.h"

#include <sodium.h>
#include <utility>

namespace foxtailtally {

OperatorAccess::OperatorAccess(std::string token)
    : token(std::move(token))
{ }

bool OperatorAccess::allows(const HttpRequest &request) const
{
    // Digests have equal lengths, so the comparison does not reveal the token's length either.
    const Fingerprint given = fingerprintOf(bearerToken(request));
    const Fingerprint expected = fingerprintOf(this->token);
    return sodium_memcmp(given.data(), expected.data(), given.size()) == 0;
}

} // namespace foxtailtally

#include "main/lib/serving_state.h"

#include "core/hash.h"

#include <sodium.h>

namespace foxtailtally {

std::string apiKeyDigest(std::string_view apiKey)
{
    const Fingerprint digest = fingerprintOf(apiKey);
    std::string text(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return text;
}

void ServingState::indexCustomers()
{
    this->customersByDigest.clear();
    for (const CustomerEntry &customer : this->note.state.customers)
        this->customersByDigest[customer.keyDigest] = customer;
}

const CustomerEntry *ServingState::authenticate(std::string_view apiKey) const
{
    if (apiKey.empty())
        return nullptr;
    // The lookup is by digest, so its timing reveals nothing about the keys.
    const auto found = this->customersByDigest.find(apiKeyDigest(apiKey));
    return found == this->customersByDigest.end() ? nullptr : &found->second;
}

} // namespace foxtailtally

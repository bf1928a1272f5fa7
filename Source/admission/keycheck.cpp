#include "admission/keycheck.h"

#include <new>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace Lycheewall
{

KeyHash KeyCheck::hash(const std::string &key)
{
    KeyHash result {};
    unsigned length = 0;
    const int done = EVP_Digest(key.data(), key.size(), result.data(), &length, EVP_sha256(), nullptr);
    if (done != 1 || length != result.size()) {
        throw std::bad_alloc();
    }
    return result;
}

ResultOr<OrganisationId, Refusal>
KeyCheck::check(const Catalogue &catalogue, const PoolId &pool, const std::optional<std::string> &key)
{
    const Pool *wanted = catalogue.findPool(pool);
    if (wanted == nullptr) {
        return failure(Refusal::UnknownPool);
    }
    if (wanted->isPublic) {
        return success(OrganisationId());
    }
    if (!key || key->empty()) {
        return failure(Refusal::KeyMissing);
    }
    const KeyHash presented = hash(*key);
    const Organisation *match = nullptr;
    for (const auto &[id, organisation] : catalogue.organisations()) {
        for (const KeyHash &granted : organisation.keys) {
            if (CRYPTO_memcmp(granted.data(), presented.data(), presented.size()) == 0) {
                match = &organisation;
            }
        }
    }
    if (match == nullptr) {
        return failure(Refusal::KeyUnknown);
    }
    if (match->pools.count(pool) == 0) {
        return failure(Refusal::PoolForbidden);
    }
    return success(match->id);
}

}

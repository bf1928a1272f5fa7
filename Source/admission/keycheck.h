#pragma once

#include "catalogue/catalogue.h"
#include "core/refusal.h"

#include <optional>
#include <string>

namespace Lycheewall
{

/// Finds the organisation that a key belongs to. Keys are held as SHA-256 only. Thread safety: any thread.
class KeyCheck
{
public:
    /// SHA-256 of @p key. Throws std::bad_alloc when OpenSSL has no memory.
    static KeyHash hash(const std::string &key);

    /// The organisation whose key this is, when it may use @p pool; an empty id for an open pool, whatever the key.
    /// Compares with every key of the catalogue, so that the time taken says nothing about which one matched.
    /// Errors: UnknownPool, KeyMissing (also for an empty key), KeyUnknown, PoolForbidden.
    static ResultOr<OrganisationId, Refusal>
    check(const Catalogue &catalogue, const PoolId &pool, const std::optional<std::string> &key);
};

}

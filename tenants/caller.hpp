#pragma once
#include "configuration/configuration.hpp"
#include "wire/http.hpp"

/// Identification of the tenant that a request comes from.
namespace tealshelf {

enum class CallerStatus {
  anonymous,  ///< no key is required, and the request carries no known one
  tenant,     ///< the request carries a key of a tenant
  refused     ///< a key is required, and the request carries no known one
};

struct Caller {
  CallerStatus status = CallerStatus::anonymous;
  Tenant const* tenant = nullptr;  ///< valid as long as the configuration
  string tenantName() const { return tenant ? tenant->name : ""; }
};

/// Whether a request must carry a known key.
enum class KeyRequirement { required, optional };

/// The key in a request's `Authorization: Bearer` header; nothing if the header is missing, repeated, or of another
/// scheme.
std::optional<string_view> bearerKey(http::fields const& headers);

/// Identifies the sender of a request by the configuration alone. If the configuration names no tenants, every caller
/// is anonymous and the `Authorization` header is meant for the workers.
Caller identifyCaller(Configuration const& configuration, http::fields const& headers, KeyRequirement need);

/// Replaces the identity that a client claims by the identified one: `Authorization` is removed, and `Customer` names
/// the tenant, or is removed for anonymous callers. Does nothing if the configuration names no tenants and `tenantName`
/// is empty.
void replaceIdentity(http::fields& headers, Configuration const& configuration, string const& tenantName);

}  // namespace tealshelf

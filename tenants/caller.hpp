#pragma once
#include "configuration/configuration.hpp"
#include "wire/http.hpp"

/// Who a request comes from.
namespace tealshelf {

enum class CallerStatus {
  anonymous,  ///< no key is needed, and none that is known came
  tenant,     ///< holds a key of a tenant
  refused     ///< a key is needed, and the request carries none that is known
};

struct Caller {
  CallerStatus status = CallerStatus::anonymous;
  Tenant const* tenant = nullptr;  ///< lives as long as the configuration
  string tenantName() const { return tenant ? tenant->name : ""; }
};

/// Whether a request can do without a key.
enum class KeyRequirement { required, optional };

/// The key in a request's `Authorization`, of the scheme Bearer; nothing if there is none, more than one, or another
/// scheme.
std::optional<string_view> bearerKey(http::fields const& headers);

/// Finds out who sent a request, by the configuration alone. Where the configuration names no tenants, everybody is
/// anonymous and the header belongs to the workers.
Caller identifyCaller(Configuration const& configuration, http::fields const& headers, KeyRequirement need);

/// Replaces what a client says of its identity by what this system found: the key is taken out, and `Customer` names
/// the tenant, or is absent. Does nothing where the configuration names no tenants and there is none.
void replaceIdentity(http::fields& headers, Configuration const& configuration, string const& tenantName);

}  // namespace tealshelf

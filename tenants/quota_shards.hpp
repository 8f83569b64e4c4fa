#pragma once
#include "consensus/membership.hpp"
#include "tenants/rate_allowance.hpp"

/// Which control nodes count for a tenant.
namespace tealshelf {

/// The members of the control plane that count for a tenant: all of them, or, where a whole token is too much for an
/// equal part of its burst, as many as can grant one, by rendezvous hash. Whoever knows the same members gives the same
/// answer.
vector<Member> shardsOf(vector<Member> const& members, string const& tenant, RateAllowance const& total);

}  // namespace tealshelf

#pragma once
#include "consensus/membership.hpp"
#include "tenants/rate_allowance.hpp"

/// Selection of the control nodes that count the requests of a tenant.
namespace tealshelf {

/// The members of the control plane that count for a tenant: all of them, or, if an equal share of its burst would be
/// less than one token, only as many as can hold one, by rendezvous hash. Depends on the arguments alone, so nodes that
/// know the same members agree.
vector<Member> shardsOf(vector<Member> const& members, string const& tenant, RateAllowance const& total);

}  // namespace tealshelf

#pragma once
#include "tenants/credit_client.hpp"
#include "tenants/warm_up_allowance.hpp"
#include "traffic/connection_pool.hpp"
#include "traffic/warm_up_rule.hpp"

namespace tealshelf {

/// Admission control for workers that may be warming up: takes the step that warmUpStep() requires before a request is
/// sent to one.
///
/// Runs on the io thread. Everything passed in must outlive it.
class WarmUpGate {
 public:
  /// Permission to send one request.
  struct Admission {
    bool isGranted = true;
    TimePoint sendDeadline = TimePoint::max();  ///< sending must begin before this time
    bool isUnanswered = false;                  ///< the worker didn't answer a health request
  };
  WarmUpGate(Settings const& settings, RpcClient& rpc, FleetView& view, ConnectionPool& pool);

  /// True if a worker may be sent requests without admission.
  bool isOpen(Worker const& worker) const { return stepFor(view_.warmUpOf(worker)) == WarmUpStep::send; }
  /// Requests admission, with a deadline.
  Task<Admission> ask(Worker worker, TimePoint until);
  /// Drops expired credits.
  void sweep() { credits_.sweep(); }

 private:
  WarmUpStep stepFor(FleetView::WarmUp const& warmUp) const;
  Task<Admission> takeCredit(Worker worker, RateAllowance limit, TimePoint until);
  /// Sends a health request to a worker; granted if it reports that it is warm.
  Task<Admission> probe(Worker worker, string healthPath, TimePoint until);

  Settings const& settings_;
  FleetView& view_;
  ConnectionPool& pool_;
  CreditClient credits_;
  Counter probes_ = metrics().counter("tealshelf_warm_up_probes_total",
                                      "Workers asked for their health, as what is known of them isn't recent.");
  Counter denied_ = metrics().counter("tealshelf_warm_up_denied_total",
                                      "Requests that a worker was not sent as it warms up, or may do so.");
};

}  // namespace tealshelf

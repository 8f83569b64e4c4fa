#pragma once
#include "tenants/credit_client.hpp"
#include "tenants/warm_up_allowance.hpp"
#include "traffic/connection_pool.hpp"
#include "traffic/warm_up_rule.hpp"

namespace tealshelf {

/// Decides whether a worker may be sent a request now, where workers of its service warm up.
///
/// It carries out what warmUpStep() says.
///
/// Runs on the io thread. Everything passed in must outlive it.
class WarmUpGate {
 public:
  /// Leave to send one request.
  struct Admission {
    bool isGranted = true;
    TimePoint sendDeadline = TimePoint::max();  ///< it must be on its way by then
    bool isUnanswered = false;                  ///< the worker was asked for its health and gave no answer
  };
  WarmUpGate(Settings const& settings, RpcClient& rpc, FleetView& view, ConnectionPool& pool);

  /// True if a worker may be sent requests without asking here.
  bool isOpen(Worker const& worker) const { return stepFor(view_.warmUpOf(worker)) == WarmUpStep::send; }
  /// Asks for leave, by a time.
  Task<Admission> ask(Worker worker, TimePoint until);
  /// Forgets what lies in the past.
  void sweep() { credits_.sweep(); }

 private:
  WarmUpStep stepFor(FleetView::WarmUp const& warmUp) const;
  Task<Admission> takeCredit(Worker worker, RateAllowance limit, TimePoint until);
  /// Asks a worker for its health: granted if it says that it is warm.
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

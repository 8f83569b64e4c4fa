#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/lot_checker.hpp"
#include "tools/soak/stand_in_worker.hpp"
#include "tools/soak/tally_client.hpp"

namespace tealshelf::soak {

/// Tests the checks themselves: in a run without faults it injects violations, each at another lot or process. The run
/// passes if the checks report each violation and nothing else.
class SelfTest {
 public:
  SelfTest(asio::io_context& io, bool on, Cluster& cluster, vector<std::unique_ptr<StandInWorker>>& workers,
           LotChecker& lotChecker, TallyClient& tallies, Verdict& verdict)
      : io_(io),
        on_(on),
        cluster_(cluster),
        workers_(workers),
        lotChecker_(lotChecker),
        tallies_(tallies),
        verdict_(verdict) {}
  /// Waits until enough lots have been accepted, then injects the violations.
  Task<void> run();
  /// Corrupts the answer to a read of a lot before it is checked.
  void corruptRead(Lot const& lot, HttpAnswer& answer);
  /// Corrupts the answer to a read of an item's body.
  void corruptBody(Lot const& lot, HttpAnswer& answer) const;
  /// Writes a log file with the line of a failed invariant.
  void corruptLogs(string const& directory) const;
  /// True if the run passed, with or without the self-test.
  bool judge() const;

 private:
  /// A failure that must be reported: its rule and parts of its text. Others with the same rule and subject may follow.
  struct InjectedViolation {
    string rule, subject, text;
  };

  /// Sends capacity orders of two owners under the same fence to the platform.
  Task<void> sendOrdersUnderOneFence();

  asio::io_context& io_;
  bool on_;
  Cluster& cluster_;
  vector<std::unique_ptr<StandInWorker>>& workers_;
  LotChecker& lotChecker_;
  TallyClient& tallies_;
  Verdict& verdict_;
  vector<InjectedViolation> injectedViolations_;
  Lot const* unreadableLot_ = nullptr;     ///< its reads get a 503
  Lot const* lotWithoutBodies_ = nullptr;  ///< its item bodies get a 404
  Lot const* alteredLot_ = nullptr;        ///< one result has another text in one answer
  bool resultWasAltered_ = false;
};

}  // namespace tealshelf::soak

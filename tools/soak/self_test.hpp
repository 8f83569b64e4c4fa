#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/lot_checker.hpp"
#include "tools/soak/stand_in_worker.hpp"
#include "tools/soak/tally_client.hpp"

namespace tealshelf::soak {

/// The soak's test of itself: in a run without faults it breaks what the checks watch, each break on another lot or
/// process. The run passes if the checks noticed each break, and nothing else.
class SelfTest {
 public:
  SelfTest(asio::io_context& io, bool on, Cluster& cluster, vector<std::unique_ptr<StandInWorker>>& workers,
           LotChecker& book, TallyClient& tallies, Verdict& verdict)
      : io_(io),
        on_(on),
        cluster_(cluster),
        workers_(workers),
        lotChecker_(book),
        tallies_(tallies),
        verdict_(verdict) {}
  /// Waits until enough lots were accepted, then begins to break things.
  Task<void> run();
  /// Changes the answer to a read of a lot, before anybody looks at it.
  void corruptRead(Lot const& lot, HttpAnswer& answer);
  /// Changes the answer to a question for an item's body.
  void corruptBody(Lot const& lot, HttpAnswer& answer) const;
  /// Writes what a failed check of the code would write.
  void corruptLogs(string const& directory) const;
  /// Tells whether the run counts as passed.
  bool judge() const;

 private:
  /// A report that must come: its rule and parts of its text. Others of the rule and subject may come, too.
  struct InjectedViolation {
    string rule, subject, text;
  };

  /// Orders workers at the platform under one fence and two names.
  Task<void> sendOrdersUnderOneFence();

  asio::io_context& io_;
  bool on_;
  Cluster& cluster_;
  vector<std::unique_ptr<StandInWorker>>& workers_;
  LotChecker& lotChecker_;
  TallyClient& tallies_;
  Verdict& verdict_;
  vector<InjectedViolation> injectedViolations_;
  Lot const* unreadableLot_ = nullptr;     ///< answers 503 from some moment on
  Lot const* lotWithoutBodies_ = nullptr;  ///< the bodies of its items are called unknown
  Lot const* alteredLot_ = nullptr;        ///< its first result has another text, once
  bool resultWasAltered_ = false;
};

}  // namespace tealshelf::soak

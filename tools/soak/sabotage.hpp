#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/lot_book.hpp"
#include "tools/soak/stand_in_worker.hpp"
#include "tools/soak/tally_client.hpp"

namespace tealshelf::soak {

/// The soak's test of itself: in a run without faults it breaks what the checks watch, each break on another lot or
/// process. The run passes if the checks noticed each break, and nothing else.
class Sabotage {
 public:
  Sabotage(asio::io_context& io, bool on, Cluster& cluster, vector<std::unique_ptr<StandInWorker>>& workers,
           LotBook& book, TallyClient& tallies, Verdict& verdict)
      : io_(io), on_(on), cluster_(cluster), workers_(workers), book_(book), tallies_(tallies), verdict_(verdict) {}
  /// Waits until enough lots were accepted, then begins to break things.
  Task<void> run();
  /// Changes the answer to a read of a lot, before anybody looks at it.
  void spoilRead(Lot const& lot, HttpAnswer& answer);
  /// Changes the answer to a question for an item's body.
  void spoilBody(Lot const& lot, HttpAnswer& answer) const;
  /// Writes what a failed check of the code would write.
  void spoilLogs(string const& directory) const;
  /// Tells whether the run counts as passed.
  bool judge() const;

 private:
  /// A report that must come: its rule and parts of its text. Others of the rule and subject may come, too.
  struct Break {
    string rule, subject, text;
  };

  /// Orders workers at the platform under one fence and two names.
  Task<void> orderTwice();

  asio::io_context& io_;
  bool on_;
  Cluster& cluster_;
  vector<std::unique_ptr<StandInWorker>>& workers_;
  LotBook& book_;
  TallyClient& tallies_;
  Verdict& verdict_;
  vector<Break> breaks_;
  Lot const* unreadable_ = nullptr;  ///< answers 503 from some moment on
  Lot const* bodiless_ = nullptr;    ///< the bodies of its items are called unknown
  Lot const* altered_ = nullptr;     ///< its first result has another text, once
  bool isAltered_ = false;
};

}  // namespace tealshelf::soak

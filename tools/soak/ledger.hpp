#pragma once
#include "tools/soak/verdict.hpp"

namespace tealshelf::soak {

/// What may be done with a request.
enum class RequestKind {
  repeatable,       ///< may run more than once
  oneShot,          ///< runs at most once
  resumableStream,  ///< events; may go on at another worker
  singleStream,     ///< events; runs at most once
  lotItem           ///< events; may run more than once
};

/// How the workers treat a request.
enum class WorkerVerdict { completes, alwaysFails, impossible };

/// A request that a client sent or may send, and what became of it at the workers.
struct TrackedRequest {
  string id, path, body;
  RequestKind kind = RequestKind::repeatable;
  WorkerVerdict verdict = WorkerVerdict::completes;
  int events = 0;  ///< of a stream
  string lot;      ///< of an item
  int runs = 0;
  bool brokenOff = false;               ///< a worker broke its answer off, or crashed
  bool refused = false;                 ///< its client was promised that it never runs
  std::set<string> seals;               ///< that workers put on its answers
  std::optional<TimePoint> neverAfter;  ///< it must not reach a worker after that

  bool isStream() const { return events > 0; }
  bool mayRunTwice() const { return kind != RequestKind::oneShot && kind != RequestKind::singleStream; }
  /// Text of one event, counted from 1.
  string eventText(int number) const;
  /// Body of a whole answer that is no stream.
  string plainAnswer() const;
  /// Result of a lot's item: the texts of all events, a line each.
  string resultText() const;
};

/// All requests of a run. Clients enter them before they send them; workers look them up before they run them.
class Ledger {
 public:
  explicit Ledger(Verdict& verdict) : verdict_(verdict) {}
  TrackedRequest& enter(TrackedRequest request);
  TrackedRequest& at(string const& id) { return requests_.at(id); }
  /// A worker begins to run a request; checks that it may. Nothing if no client sent such a request.
  TrackedRequest* beginRun(string const& id, string const& path, string const& body, int lastEventId);
  /// A client was promised that the request never ran and never will.
  void notePromiseNotRun(TrackedRequest& request, string const& told);

 private:
  Verdict& verdict_;
  std::map<string, TrackedRequest> requests_;
};

}  // namespace tealshelf::soak

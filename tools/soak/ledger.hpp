#pragma once
#include "tools/soak/verdict.hpp"

namespace tealshelf::soak {

/// How a request is answered, and how often it may run.
enum class RequestKind {
  repeatable,       ///< may run more than once
  oneShot,          ///< runs at most once
  resumableStream,  ///< event stream; may resume at another worker
  singleStream,     ///< event stream; runs at most once
  lotItem           ///< event stream; may run more than once
};

/// How the workers handle a request.
enum class WorkerVerdict { completes, alwaysFails, impossible };

/// A request of a client and what the workers did with it.
struct TrackedRequest {
  string id, path, body;
  RequestKind kind = RequestKind::repeatable;
  WorkerVerdict verdict = WorkerVerdict::completes;
  int events = 0;  ///< number of events; 0 if it isn't a stream
  string lot;      ///< lot of an item
  int runs = 0;
  bool brokenOff = false;                    ///< a worker truncated its answer or crashed
  bool refused = false;                      ///< an answer guaranteed that it never runs
  std::set<string> seals;                    ///< seals that workers put on its answers
  std::optional<TimePoint> mustNotRunAfter;  ///< it must not reach a worker after this time

  bool isStream() const { return events > 0; }
  bool mayRunTwice() const { return kind != RequestKind::oneShot && kind != RequestKind::singleStream; }
  /// Text of one event; the first has number 1.
  string eventText(int number) const;
  /// Body of the answer to a request that isn't a stream.
  string plainAnswer() const;
  /// Result of a lot's item: the texts of all events, one per line.
  string resultText() const;
};

/// All requests of a run. Clients add a request before they send it; workers look it up before they run it.
class Ledger {
 public:
  explicit Ledger(Verdict& verdict) : verdict_(verdict) {}
  TrackedRequest& add(TrackedRequest request);
  TrackedRequest& at(string const& id) { return requests_.at(id); }
  /// Records that a worker begins to run a request, and checks that it may. Null if no client sent such a request.
  TrackedRequest* beginRun(string const& id, string const& path, string const& body, int lastEventId);
  /// Records the guarantee to a client that the request hasn't run and won't.
  void notePromiseNotRun(TrackedRequest& request, string const& promise);

 private:
  Verdict& verdict_;
  std::map<string, TrackedRequest> requests_;
};

}  // namespace tealshelf::soak

#pragma once
#include "tools/soak/http_call.hpp"
#include "tools/soak/ledger.hpp"
#include "tools/soak/random.hpp"
#include "tools/soak/topology.hpp"

namespace tealshelf::soak {

/// What a worker is and where it may register.
struct WorkerPlan {
  string name, service, zone;
  Address address;
  int capacity = 16;
  SoakBounds bounds;
  vector<Address> controls;  ///< nodes that take heartbeats
};

/// A worker of the soak: it registers, runs requests for a short while and tells the ledger of each. A share of its
/// answers is broken off, a share of requests refused, each heartbeat's answer may be lost. After each start but the
/// first it warms up, and checks that it gets no more than the rule allows then.
class StandInWorker {
 public:
  StandInWorker(asio::io_context& io, WorkerPlan plan, Ledger& ledger, Verdict& verdict, std::uint64_t seed);
  /// Begins a new life under a new id.
  void start();
  /// Resets all connections and says nothing more until the next start().
  void crash();
  bool isRunning() const { return acceptor_.is_open(); }
  /// It warms up from now on, as a worker of an evacuated zone does.
  void beginWarmUp() { warmUpUntil_ = Clock::now() + plan_.bounds.warmUp; }
  /// The same, but it says nothing of it: what it gets must be noticed.
  void beginUnreportedWarmUp(Ms duration);
  string const& id() const { return id_; }
  string const& zone() const { return plan_.zone; }

 private:
  using Socket = std::shared_ptr<tcp::socket>;
  Task<void> acceptLoop(int incarnation);
  Task<void> serve(Socket socket, int incarnation);
  Task<bool> handle(tcp::socket& socket, HttpRequest const& request, int incarnation);
  Task<bool> runRequest(tcp::socket& socket, HttpRequest const& request, int incarnation);
  Task<bool> sendPlainAnswer(tcp::socket& socket, TrackedRequest& request, string seal);
  Task<bool> streamEvents(tcp::socket& socket, TrackedRequest& request, string seal, int lastEventId, int incarnation);
  Task<bool> reply(tcp::socket& socket, HttpReply answer);
  HttpReply refusal(int status, string const& id) const;
  string load() const;
  /// Time for which it says that it warms up yet.
  Ms warmUpLeft() const;
  /// Counts a request that arrived; 421 isn't counted.
  void countArrival();
  Task<void> heartbeats(int incarnation);
  Task<bool> sendHeartbeat(Address& to);

  asio::io_context& io_;
  WorkerPlan plan_;
  Ledger& ledger_;
  Verdict& verdict_;
  Random random_;
  tcp::acceptor acceptor_;
  std::set<Socket> open_;
  string id_;
  int incarnation_ = 0, running_ = 0, heartbeatCount_ = 0;
  TimePoint warmUpUntil_, unreportedWarmUpUntil_;
  std::deque<TimePoint> warmUpArrivals_;  ///< of the last second
};

}  // namespace tealshelf::soak

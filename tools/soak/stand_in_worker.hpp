#pragma once
#include "tools/soak/http_call.hpp"
#include "tools/soak/ledger.hpp"
#include "tools/soak/random.hpp"
#include "tools/soak/topology.hpp"

namespace tealshelf::soak {

/// Settings of a worker, and the control nodes where it may register.
struct WorkerPlan {
  string name, service, zone;
  Address address;
  int capacity = 16;
  SoakBounds bounds;
  vector<Address> controls;  ///< control nodes that accept heartbeats
};

/// A stand-in worker: registers, runs each request for a few milliseconds and records it in the ledger. It truncates a
/// share of its answers, refuses a share of the requests and ignores a share of the heartbeat answers. After each start
/// but the first it warms up, and checks that it then gets no more requests than the rule allows.
class StandInWorker {
 public:
  StandInWorker(asio::io_context& io, WorkerPlan plan, Ledger& ledger, Verdict& verdict, std::uint64_t seed);
  /// Starts a new incarnation under a new id.
  void start();
  /// Resets all connections and stays silent until the next start().
  void crash();
  bool isRunning() const { return acceptor_.is_open(); }
  /// Begins a warm-up, as a worker of an evacuated zone does.
  void beginWarmUp() { warmUpUntil_ = Clock::now() + plan_.bounds.warmUp; }
  /// Begins a warm-up that isn't reported to the nodes, so that the check must see too many requests.
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
  /// Remaining warm-up time that it reports.
  Ms warmUpLeft() const;
  /// Counts an arriving request against the warm-up limit; requests answered with 421 aren't counted.
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
  std::deque<TimePoint> warmUpArrivals_;  ///< arrivals within the last second of a warm-up
};

}  // namespace tealshelf::soak

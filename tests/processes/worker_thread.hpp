#pragma once
#include "tests/processes/blocking_http.hpp"

#include <atomic>
#include <thread>

namespace tealshelf {

/// A worker in threads of the test: it reports to a control node, and answers requests by their paths: one that ends
/// with `/silent` never, one that ends with `/large` with `largeAnswerBytes`, any other with a few bytes.
class WorkerThread {
 public:
  static constexpr std::size_t largeAnswerBytes = 1u << 20;

  WorkerThread(Address at, Address control);
  ~WorkerThread();
  WorkerThread(WorkerThread const&) = delete;
  WorkerThread& operator=(WorkerThread const&) = delete;
  /// Begins to report; the first report may be repeated until the control node answers.
  void start();

 private:
  void report();
  void acceptAll();
  void serve(int socket);
  bool answer(int socket, string const& head) const;

  Address at_, control_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> served_{0};
  std::thread reporter_, acceptor_;
};

}  // namespace tealshelf

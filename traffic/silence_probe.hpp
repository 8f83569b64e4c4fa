#pragma once
#include "wire/tasks.hpp"

namespace tealshelf {

/// Monitors one exchange with a worker: whenever the worker has been silent for a while, opens a connection to it to
/// find out whether it can be reached. A worker that is merely slow accepts or refuses the connection at once.
///
/// Runs on the io thread until it is destroyed.
class SilenceProbe {
 public:
  struct Timing {
    Ms silence;       ///< time without progress before a probe; doubles after each probe
    Ms answerWithin;  ///< timeout of a probe
  };
  /// Called after each probe; an unreachable worker is not probed again.
  using OnProbed = std::function<void(bool reachable)>;

  SilenceProbe(asio::io_context& io, Address worker, Timing timing, OnProbed onProbed);
  ~SilenceProbe();
  SilenceProbe(SilenceProbe const&) = delete;
  SilenceProbe& operator=(SilenceProbe const&) = delete;
  /// The exchange made progress: bytes arrived from the worker.
  void noteProgress() { state_->progressAt = Clock::now(); }

 private:
  struct State {
    State(asio::io_context& io, Address to, Timing itsTiming, OnProbed callback)
        : io(io), worker(std::move(to)), timing(itsTiming), onProbed(std::move(callback)), timer(io) {}
    asio::io_context& io;
    Address worker;
    Timing timing;
    OnProbed onProbed;
    asio::steady_timer timer;
    TimePoint progressAt = Clock::now();
    bool stopped = false;
  };
  static Task<void> watch(std::shared_ptr<State> state);
  /// Waits until the worker has been silent for the set time; false if the monitoring ended before.
  static Task<bool> awaitSilence(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace tealshelf

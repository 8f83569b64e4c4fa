#pragma once
#include "wire/tasks.hpp"

namespace tealshelf {

/// Looks after one exchange with a worker: whenever nothing came for a while, it opens a connection to the worker to
/// learn whether that can be reached at all. A worker that is only slow accepts it, or refuses it, at once.
///
/// Runs on the io thread. It ends when it is destroyed.
class SilenceProbe {
 public:
  struct Timing {
    Ms silence;       ///< without anything from the worker before it is probed; doubles with each probe that succeeds
    Ms answerWithin;  ///< in which a connection must come up or be refused
  };
  /// Called once for each probe; no more follow after one that found the worker out of reach.
  using OnProbed = std::function<void(bool reachable)>;

  SilenceProbe(asio::io_context& io, Address worker, Timing timing, OnProbed onProbed);
  ~SilenceProbe();
  SilenceProbe(SilenceProbe const&) = delete;
  SilenceProbe& operator=(SilenceProbe const&) = delete;
  /// Something came from the worker.
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
  /// Waits until nothing came for long; false if the probe was ended meanwhile.
  static Task<bool> awaitSilence(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace tealshelf

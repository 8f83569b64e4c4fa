#pragma once
#include "base/tealshelf.hpp"

/// A mutex for coroutines of one thread, with a bounded wait queue and a time limit for waiting.
namespace tealshelf {

/// Grants the lock to one coroutine at a time, in the order of their calls.
///
/// A coroutine whose wait exceeds its limit gets an error instead of the lock, so that a lock that is never released
/// doesn't let the queue grow without bound.
class AsyncMutex {
  struct Waiter {
    explicit Waiter(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    bool granted = false;
  };
  struct State {
    bool locked = false;
    std::deque<std::shared_ptr<Waiter>> waiters;
  };

 public:
  /// Holds the mutex until it is destroyed; the mutex itself may be destroyed earlier.
  class Lock {
   public:
    explicit Lock(std::shared_ptr<State> state) : state_(std::move(state)) {}
    Lock(Lock&& other) noexcept : state_(std::move(other.state_)) {}
    Lock& operator=(Lock&&) = delete;
    ~Lock() {
      if (state_) release(*state_);
    }

   private:
    std::shared_ptr<State> state_;
  };

  AsyncMutex(asio::io_context& io, std::size_t maxWaiting) : io_(io), maxWaiting_(maxWaiting) {}

  /// Waits for the mutex; throws ErrorCode::busy if the queue is full or the limit expires.
  Task<Lock> lock(Ms limit) {
    std::shared_ptr<State> const state = state_;
    if (!state->locked) {
      state->locked = true;
      co_return Lock(state);
    }
    if (state->waiters.size() >= maxWaiting_) throw Error(ErrorCode::busy, "the wait queue of the lock is full");
    std::shared_ptr<Waiter> const waiter = std::make_shared<Waiter>(io_);
    waiter->timer.expires_after(limit);
    state->waiters.push_back(waiter);
    error_code ignored;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (waiter->granted) co_return Lock(state);
    std::erase(state->waiters, waiter);
    throw Error(ErrorCode::busy, "timed out while waiting for the lock");
  }
  bool locked() const { return state_->locked; }
  std::size_t waiting() const { return state_->waiters.size(); }

 private:
  /// Passes the mutex directly to the first waiter, so that no other coroutine can take it in between.
  static void release(State& state) {
    if (state.waiters.empty()) {
      state.locked = false;
      return;
    }
    std::shared_ptr<Waiter> const next = state.waiters.front();
    state.waiters.pop_front();
    next->granted = true;
    next->timer.cancel();
  }

  asio::io_context& io_;
  std::size_t maxWaiting_;
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace tealshelf

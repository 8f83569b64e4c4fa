#include "base/async_mutex.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
/// Runs coroutines that lock a mutex; logs the names of those that got the lock, and a '!' before those refused.
struct Section {
  asio::io_context io;
  AsyncMutex mutex;
  string log;
  std::size_t inside = 0, maxInside = 0;
  explicit Section(std::size_t maxWaiting) : mutex(io, maxWaiting) {}

  Task<void> enter(char name, Ms limit, asio::steady_timer& holdTimer) {
    try {
      AsyncMutex::Lock const lock = co_await mutex.lock(limit);
      log += name;
      maxInside = std::max(maxInside, ++inside);
      error_code ignored;
      co_await holdTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      --inside;
      if (name == 'x') throw std::runtime_error("left by an exception");
    } catch (Error const& error) {
      log += error.code() == ErrorCode::busy ? '!' : '?';
      log += name;
    } catch (std::runtime_error const&) {
    }
  }
  void start(char name, Ms limit, asio::steady_timer& holdTimer) {
    asio::co_spawn(io, enter(name, limit, holdTimer), asio::detached);
    io.poll();
  }
};
Ms const noTimeout = std::chrono::hours(1);
}  // namespace

TEST_GROUP(asyncMutex){};

TEST(asyncMutex, admitsOneAtATimeInOrder) {
  Section section(8);
  asio::steady_timer holdTimer(section.io, noTimeout);
  for (char const name : {'a', 'x', 'b', 'c'}) section.start(name, noTimeout, holdTimer);
  STRCMP_EQUAL("a", section.log.c_str());
  LONGS_EQUAL(3, section.mutex.waiting());
  for (int i = 0; i < 4; ++i) {
    holdTimer.cancel();
    section.io.poll();
  }
  STRCMP_EQUAL("axbc", section.log.c_str());
  LONGS_EQUAL(1, section.maxInside);
  CHECK_FALSE(section.mutex.locked());
}
TEST(asyncMutex, aFullQueueRefusesAtOnce) {
  Section section(1);
  asio::steady_timer holdTimer(section.io, noTimeout);
  for (char const name : {'a', 'b', 'c'}) section.start(name, noTimeout, holdTimer);
  STRCMP_EQUAL("a!c", section.log.c_str());
}
TEST(asyncMutex, aTimedOutWaiterLeavesTheQueue) {
  Section section(8);
  asio::steady_timer holdTimer(section.io, noTimeout);
  section.start('a', noTimeout, holdTimer);
  section.start('b', Ms(0), holdTimer);
  section.start('c', noTimeout, holdTimer);
  while (section.log != "a!b") section.io.run_one();
  LONGS_EQUAL(1, section.mutex.waiting());
  holdTimer.cancel();
  section.io.poll();
  STRCMP_EQUAL("a!bc", section.log.c_str());
}
TEST(asyncMutex, aLockOutlivesItsMutex) {
  asio::io_context io;
  std::optional<AsyncMutex> mutex(std::in_place, io, 1);
  std::optional<AsyncMutex::Lock> lock;
  asio::co_spawn(
      io, [&]() -> Task<void> { lock.emplace(co_await mutex->lock(noTimeout)); }, asio::detached);
  io.poll();
  mutex.reset();
  lock.reset();
}

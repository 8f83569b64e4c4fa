#include "base/async_mutex.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
/// Runs coroutines that take a mutex and notes in which order they got in, were refused and left.
struct Section {
  asio::io_context io;
  AsyncMutex mutex;
  string log;
  std::size_t inside = 0, most = 0;
  explicit Section(std::size_t mostWaiting) : mutex(io, mostWaiting) {}

  Task<void> enter(char name, Ms limit, asio::steady_timer& stay) {
    try {
      AsyncMutex::Lock const lock = co_await mutex.lock(limit);
      log += name;
      most = std::max(most, ++inside);
      error_code ended;
      co_await stay.async_wait(asio::redirect_error(asio::use_awaitable, ended));
      --inside;
      if (name == 'x') throw std::runtime_error("left by an exception");
    } catch (Error const& error) {
      log += error.code() == ErrorCode::busy ? '!' : '?';
      log += name;
    } catch (std::runtime_error const&) {
    }
  }
  void start(char name, Ms limit, asio::steady_timer& stay) {
    asio::co_spawn(io, enter(name, limit, stay), asio::detached);
    io.poll();
  }
};
Ms const ever = std::chrono::hours(1);
}  // namespace

TEST_GROUP(asyncMutex){};

TEST(asyncMutex, admitsOneAtATimeInOrder) {
  Section section(8);
  asio::steady_timer stay(section.io, ever);
  for (char const name : {'a', 'x', 'b', 'c'}) section.start(name, ever, stay);
  STRCMP_EQUAL("a", section.log.c_str());
  LONGS_EQUAL(3, section.mutex.waiting());
  for (int i = 0; i < 4; ++i) {
    stay.cancel();
    section.io.poll();
  }
  STRCMP_EQUAL("axbc", section.log.c_str());
  LONGS_EQUAL(1, section.most);
  CHECK_FALSE(section.mutex.locked());
}
TEST(asyncMutex, aFullQueueRefusesAtOnce) {
  Section section(1);
  asio::steady_timer stay(section.io, ever);
  for (char const name : {'a', 'b', 'c'}) section.start(name, ever, stay);
  STRCMP_EQUAL("a!c", section.log.c_str());
}
TEST(asyncMutex, aTimedOutWaiterLeavesTheQueue) {
  Section section(8);
  asio::steady_timer stay(section.io, ever);
  section.start('a', ever, stay);
  section.start('b', Ms(0), stay);
  section.start('c', ever, stay);
  while (section.log != "a!b") section.io.run_one();
  LONGS_EQUAL(1, section.mutex.waiting());
  stay.cancel();
  section.io.poll();
  STRCMP_EQUAL("a!bc", section.log.c_str());
}
TEST(asyncMutex, aLockOutlivesItsMutex) {
  asio::io_context io;
  std::optional<AsyncMutex> mutex(std::in_place, io, 1);
  std::optional<AsyncMutex::Lock> lock;
  asio::co_spawn(
      io, [&]() -> Task<void> { lock.emplace(co_await mutex->lock(ever)); }, asio::detached);
  io.poll();
  mutex.reset();
  lock.reset();
}

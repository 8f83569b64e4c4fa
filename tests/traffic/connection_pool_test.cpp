#include "traffic/connection_pool.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
struct PoolWithOneWorker {
  asio::io_context io{1};
  Settings settings;
  ConnectionPool pool{io, settings};

  void give(std::size_t connections) {
    for (std::size_t i = 0; i < connections; ++i) pool.release("i-1", pool.create());
  }
};
}  // namespace

TEST_GROUP(connectionPool){};

TEST(connectionPool, aResetLeavesHalfOfTheIdleConnections) {
  PoolWithOneWorker worker;
  worker.give(8);
  LONGS_EQUAL(8, worker.pool.idleCount("i-1"));
  worker.pool.noteReset("i-1");
  LONGS_EQUAL(4, worker.pool.idleCount("i-1"));
}
TEST(connectionPool, releasingBeyondTheLimitClosesTheOldest) {
  PoolWithOneWorker worker;
  worker.give(8);
  worker.pool.noteReset("i-1");
  worker.give(3);
  LONGS_EQUAL(4, worker.pool.idleCount("i-1"));
}
TEST(connectionPool, aWorkerWithoutReleasedConnectionsHasNone) {
  PoolWithOneWorker worker;
  LONGS_EQUAL(0, worker.pool.idleCount("i-2"));
}

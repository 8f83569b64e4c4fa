#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/random.hpp"
#include "tools/soak/self_test.hpp"

namespace tealshelf::soak {

/// Whether a read succeeded, and otherwise why it failed.
struct ReadOutcome {
  bool succeeded = true;
  string failureText;
};

/// One page, or why it couldn't be read.
struct LotReading {
  std::optional<LotPage> page;
  string failureText;
};

/// Clients of lots: they submit lots, read them from any position at any edge, read item bodies and end some lots.
class LotClient {
 public:
  LotClient(asio::io_context& io, Options const& options, Cluster& cluster, Ledger& ledger, LotChecker& lotChecker,
            SelfTest& selfTest, Verdict& verdict);
  /// Submits lots at a rate until stop().
  Task<void> submitLots();
  /// Reads random lots, one at a time, until stop().
  Task<void> observe();
  void stop() { stopping_ = true; }
  std::size_t callsInFlight() const { return callsInFlight_; }

  /// Reads a page from a position and checks the answer.
  Task<LotReading> read(Lot& lot, ClusterNode& edge, std::uint64_t from, Ms hold);
  /// Reads all listed results of a lot; must reach at least the position that any read has reached before.
  Task<ReadOutcome> readAll(Lot& lot, ClusterNode& edge);
  /// Reads the body of an unlisted item; succeeds if the body is returned or the item has been listed in the meantime.
  Task<ReadOutcome> readBody(Lot& lot, ClusterNode& edge, string item);

 private:
  Lot& drawLot();
  string drawItem(Lot& lot);
  Task<void> submit(Lot& lot);
  Task<HttpAnswer> post(Lot& lot, ClusterNode& edge);
  Task<void> end(Lot& lot);
  Task<void> observeOnce(Lot& lot);
  void checkIsAnswered(ClusterNode const& edge, string const& what, HttpAnswer const& answer);

  asio::io_context& io_;
  Options const& options_;
  Cluster& cluster_;
  Ledger& ledger_;
  LotChecker& lotChecker_;
  SelfTest& selfTest_;
  Verdict& verdict_;
  Random random_;
  std::size_t callsInFlight_ = 0;
  bool stopping_ = false;
};

}  // namespace tealshelf::soak

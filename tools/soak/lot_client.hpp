#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/random.hpp"
#include "tools/soak/self_test.hpp"

namespace tealshelf::soak {

/// How a read ended: well, or with what trouble.
struct ReadOutcome {
  bool succeeded = true;
  string failureText;
};

/// One page, if it came.
struct LotReading {
  std::optional<LotPage> page;
  string failureText;
};

/// Clients of lots: they hand lots in, read them from any position at any edge, ask for bodies and end some.
class LotClient {
 public:
  LotClient(asio::io_context& io, Options const& options, Cluster& cluster, Ledger& ledger, LotChecker& book,
            SelfTest& runsSelfTest, Verdict& verdict);
  /// Hands lots in at a rate until stop().
  Task<void> arrivals();
  /// Reads lots, one at a time, until stop().
  Task<void> observe();
  void stop() { stopping_ = true; }
  std::size_t underWay() const { return underWay_; }

  /// Reads on from a position; the answer is checked.
  Task<LotReading> read(Lot& lot, ClusterNode& edge, std::uint64_t from, Ms hold);
  /// Reads a whole lot, as far as it is listed; it must come as far as it was ever read.
  Task<ReadOutcome> readAll(Lot& lot, ClusterNode& edge);
  /// Asks for the body of an item that isn't listed; well if it came, or the item turned out to be listed.
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
  std::size_t underWay_ = 0;
  bool stopping_ = false;
};

}  // namespace tealshelf::soak

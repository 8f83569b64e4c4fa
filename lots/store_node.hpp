#pragma once
#include "base/durable_log.hpp"
#include "lots/lot_ages.hpp"
#include "lots/messages.hpp"
#include "segments/replicas.hpp"
#include "traffic/balance.hpp"
#include "traffic/exchange.hpp"

namespace tealshelf {

/// A lot that this store runs as its primary.
struct LotRun {
  LotRecord lot;
  vector<ItemRecord> items;
  enum State : char { queued, running, done };
  vector<State> states;
  vector<std::uint64_t> fails;
  vector<string> ids;
  std::size_t next = 0, live = 0;
  std::uint64_t listed = 0, doneTokens = 0;
  std::deque<ResultRecord> pending;
  bool stalled = false, over = false, writing = false;
  bool resettle = false;  ///< its own disk failed it; it needs a fresh stamp
  std::set<NodeId> bad;
  TimePoint retryAt;
  std::set<std::shared_ptr<asio::steady_timer>> readers;
  bool ended() const { return lot.state == static_cast<int>(LotState::ended); }
};

/// The data plane of a storage machine: replicas of segments, and the items of lots it is primary of.
class StoreNode {
 public:
  StoreNode(asio::io_context& io, Settings const& settings);
  void start();
  void stop();

 private:
  using Key = std::pair<string, string>;
  using RunPtr = std::shared_ptr<LotRun>;
  struct Control {
    std::uint64_t life = 0, rev = 0;
    TimePoint held;
    bool asking = false;
  };

  void persist();
  /// Throws diskRefuses while the disk takes nothing, or nothing new.
  void needDisk() const;
  void needRoom(LotRecord const& lot) const;
  Task<void> synced();
  Task<Acknowledgement> create(SegCreate q);
  Task<SegAppendReply> append(SegAppend q);
  Task<SegInspectReply> inspect(SegInspect q);
  Task<Acknowledgement> settle(SegSettle q);
  Task<Acknowledgement> copy(SegCopy q);
  Task<SegCreate> fetch(SegFetch q);
  Task<SegConfirmReply> confirm(SegConfirm q);
  Task<SegReadReply> read(SegRead q);
  Task<SegItemReply> item(SegItem q);

  Task<void> beatLoop();
  Task<void> beat(Address at, bool marks);
  bool hasLease() const;
  /// Milliseconds until a lot is due, as far as that can be told; for urgency only.
  std::int64_t timeLeft(LotRecord const& lot, TimePoint now) const;
  void renewLease(std::uint64_t fencedUpTo);
  void want(LotRecord const& l);
  void adopt(LotRecord const& l);
  void drop(Key const& k);
  void reconcile();
  Task<void> dispatchLoop();
  bool dispatch();
  Task<void> runItem(RunPtr run, std::size_t n);
  Task<bool> tryItem(RunPtr run, std::size_t n, EventReader& ev);
  void finish(RunPtr const& run, std::size_t n, bool finished, string text);
  Task<void> flushLoop();
  Task<bool> flush();
  Task<void> sweepLoop();
  bool current(RunPtr const& run) const;

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient rpc_;
  RpcServer server_;
  FleetView view_;
  Pools pools_;
  Balance balance_;
  bool fresh_ = false, stopping_ = false;
  NodeId id_;
  StoreRef self_;
  Replicas replicas_;
  DurableLog log_;
  std::map<Address, Control> controls_;
  std::uint64_t lease_ = 0;
  LotAges ages_;
  std::uint64_t const life_ = randomId();
  std::map<Key, LotRecord> wanted_;
  std::map<Key, RunPtr> runs_;
  std::map<Key, std::pair<GenerationStamp, TimePoint>> odd_;
  vector<Member> members_;
  std::size_t live_ = 0;
  double meanRun_ = 1000;  ///< how long an item runs, in ms, as seen lately
  asio::steady_timer work_, flushes_;
};

}  // namespace tealshelf

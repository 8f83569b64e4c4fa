#pragma once
#include "base/async_mutex.hpp"
#include "consensus/forward_to_owner.hpp"
#include "lots/lease_grants.hpp"
#include "lots/lot_ages.hpp"
#include "lots/messages.hpp"

namespace tealshelf {

/// Keeps the records and stamps of lots for the keyspaces that this control node owns.
class LotCoordinator {
 public:
  LotCoordinator(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver);
  void start(RpcServer& server);
  /// Names of stores that shall be emptied, from the members keyspace.
  std::function<std::set<string>()> retiring;
  /// Machines with a store role that were heard lately.
  vector<StoreRef> liveStores(TimePoint now) const;
  bool knownStore(string const& name) const;
  /// How many lots of all keyspaces rely on a store; throws if unsure.
  Task<std::uint64_t> reliesOn(string store);
  static string keyspaceOf(string const& host) { return "lots/" + host; }

 private:
  struct Seen {
    StoreRef ref;
    TimePoint at;
    bool leaving = false, refusing = false;
  };
  struct Soft {
    std::uint64_t rev = 0, doneTokens = 0, done = 0;
    std::set<NodeId> bad;
    TimePoint badAt, tried, opened;
    TimePoint began;  ///< when the recovery that is at work began
    bool resettle = false, busy = false;
    std::optional<AsyncMutex> mutex;  ///< for changes of the record
  };
  struct Opening {
    string route;
    std::uint64_t tokens = 0;
    TimePoint began;
  };
  using Key = std::pair<string, string>;

  Task<LotOpenReply> open(LotOpen q);
  Task<Acknowledgement> accept(LotAccept q);
  Task<LotFindReply> find(LotFind q);
  Task<LotFindReply> end(LotEnd q);
  Task<StoreBeatReply> beat(StoreBeat q);
  Task<Acknowledgement> fence(StoreFence q);
  template <class Q>
  Task<std::optional<typename Q::Reply>> elsewhere(string const& host, Q q);
  std::optional<LotRecord> load(string const& host, string const& id) const;
  Task<bool> save(LotRecord const& r);
  /// Lets one change of a lot's record at a time begin; throws Code::busy if that takes too long.
  Task<AsyncMutex::Lock> lock(Key k);
  GenerationStamp fresh(string const& host);
  bool mayAccept(Key const& k, Ms within) const;
  std::size_t needed() const { return static_cast<std::size_t>(settings_.surviveMachines) + 1; }
  bool dead(NodeId id, TimePoint now) const;
  bool refusing(NodeId id) const;
  vector<StoreRef> choose(string const& id, std::set<NodeId> const& bar, vector<StoreRef> have, std::size_t count,
                          TimePoint now) const;
  Task<bool> fenceAt(NodeId store);
  Task<void> maintain();
  bool unfit(LotRecord const& r, Soft const& s, TimePoint now) const;
  Task<std::uint64_t> relying(string host, string store);
  Task<void> reshape(LotRecord r);
  Task<void> reshapeNow(LotRecord r);

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  ConsensusDriver& driver_;
  TimePoint started_ = Clock::now();
  std::uint64_t life_ = randomId(), rev_ = 0, counter_ = 0;
  LeaseGrants grants_{Ms(settings_.bounds.inTouch / 5), started_};
  std::map<NodeId, Seen> stores_;
  std::map<Key, Soft> soft_;
  std::map<string, Epoch> ownedSince_;
  std::map<string, TimePoint> ownedAt_;
  std::size_t busy_ = 0;
  LotAges ages_;
  std::map<Key, Opening> opening_;      ///< lots whose record is being written
  std::map<string, TimePoint> barred_;  ///< stores asked about before they go, since when nothing new is put there
};

}  // namespace tealshelf

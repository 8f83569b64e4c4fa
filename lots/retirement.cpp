#include "lots/lot_coordinator.hpp"
#include "lots/replica_rules.hpp"

namespace tealshelf {

/// How many lots of a keyspace that this node owns still need a store. From the question on nothing
/// new is put there.
Task<std::uint64_t> LotCoordinator::relying(string host, string store) {
  string const keyspace = keyspaceOf(host);
  TimePoint const barred = barred_.try_emplace(store, Clock::now()).first->second;
  if (!co_await driver_.confirmOwnership(keyspace, Ms(settings_.bounds.inTouch / 3))) throw Error(ErrorCode::noQuorum);
  std::uint64_t count = 0;
  std::map<NodeId, SegConfirm> questions;
  std::map<NodeId, Address> places;
  for (std::pair<Key const, Opening> const& p : opening_)
    if (p.first.first == host) count += p.second.began <= barred;
  for (std::pair<string const, string> const& p : driver_.consensus().committedValues(keyspace)) {
    LotRecord const lot = deserialize<LotRecord>(p.second);
    // A recovery that began before may still name the store.
    Soft const& soft = soft_[{host, lot.id}];
    count += namesStore(lot, store) || (soft.busy && soft.began <= barred);
    for (StoreRef const& h : lot.holders) {
      questions[h.id].replicas.push_back({lot.host, lot.id, lot.stamp});
      places[h.id] = h.at;
    }
  }
  if (count) co_return count;
  ConfirmedReplicas confirmed;
  for (std::pair<NodeId const, SegConfirm> const& q : questions) {
    try {
      SegConfirmReply const answer = co_await rpc_.call(places[q.first], q.second, Ms(settings_.bounds.inTouch / 4));
      confirmed.add(q.first, q.second, answer);
    } catch (Error const& x) {
      logDebug("lots", x.what());
    }
  }
  // Records may have changed while the stores were asked.
  if (!co_await driver_.confirmOwnership(keyspace, Ms(settings_.bounds.inTouch / 3))) throw Error(ErrorCode::noQuorum);
  for (std::pair<string const, string> const& p : driver_.consensus().committedValues(keyspace))
    count += !freeOf(deserialize<LotRecord>(p.second), store, confirmed, needed());
  co_return count;
}

Task<std::uint64_t> LotCoordinator::reliesOn(string store) {
  std::uint64_t count = 0;
  for (string const& keyspace : driver_.consensus().keyspaces()) {
    if (keyspace.rfind("lots/", 0) != 0) continue;
    string const host = keyspace.substr(5);
    if (driver_.consensus().owns(keyspace)) {
      count += co_await relying(host, store);
      continue;
    }
    std::optional<Address> const owner = driver_.ownerAddress(keyspace);
    if (!owner) throw Error(ErrorCode::noOwner);
    RelyCount const question{host, store, 0};
    RelyCountReply const answer = co_await rpc_.call(*owner, question, Ms(settings_.bounds.inTouch));
    count += answer.lots;
  }
  co_return count;
}

}  // namespace tealshelf

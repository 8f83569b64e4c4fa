// Which lots rely on a store that is to be taken away.
#include "lots/coordination/lot_coordinator.hpp"

namespace tealshelf {

/// Asks all holders of a host's lots which replicas they hold.
Task<ConfirmedReplicas> LotCoordinator::confirmHeldReplicas(string host) {
  std::map<NodeId, ConfirmReplicas> questions;
  std::map<NodeId, Address> addresses;
  for (auto const& [id, record] : driver_.consensus().committedValues(keyspaceOf(host))) {
    LotRecord const lot = deserialize<LotRecord>(record);
    for (StoreRef const& holder : lot.holders) {
      questions[holder.id].replicas.push_back({lot.host, lot.id, lot.lowestReplicaStamp()});
      addresses[holder.id] = holder.address;
    }
  }
  ConfirmedReplicas confirmed;
  for (auto const& [store, question] : questions) {
    try {
      ConfirmReplicasReply const answer = co_await rpc_.call(addresses[store], question, settings_.bounds.inTouch / 4);
      confirmed.add(store, question, answer);
    } catch (Error const& error) {
      logDebug("lots", error.what());
    }
  }
  co_return confirmed;
}

/// How many lots of a keyspace that this node owns still need a store. From the question on nothing new is put there.
Task<std::uint64_t> LotCoordinator::countRelyingInKeyspace(string host, string store) {
  string const keyspace = keyspaceOf(host);
  TimePoint const excludedSince = excludedStores_.try_emplace(store, Clock::now()).first->second;
  co_await confirmOwnership(host);
  std::uint64_t count = 0;
  for (auto const& [key, opening] : opening_)
    if (key.host == host && opening.startedAt <= excludedSince) ++count;
  for (auto const& [id, record] : driver_.consensus().committedValues(keyspace)) {
    LotStatus const& status = lots_[{host, id}];
    // A recovery that began before may still name the store.
    bool const mayName = status.recovering && status.recoveryStartedAt <= excludedSince;
    if (mayName || namesStore(deserialize<LotRecord>(record), store)) ++count;
  }
  if (count) co_return count;
  ConfirmedReplicas const confirmed = co_await confirmHeldReplicas(host);
  // Records may have changed while the stores were asked.
  co_await confirmOwnership(host);
  for (auto const& [id, record] : driver_.consensus().committedValues(keyspace))
    if (!canRemoveStore(deserialize<LotRecord>(record), store, confirmed, neededCopies())) ++count;
  co_return count;
}

Task<std::uint64_t> LotCoordinator::countLotsRelyingOn(string store) {
  std::uint64_t count = 0;
  vector<string> const keyspaces = driver_.consensus().keyspaces();
  for (string const& keyspace : keyspaces) {
    if (!keyspace.starts_with(keyspaceOf(""))) continue;
    string const host = keyspace.substr(keyspaceOf("").size());
    if (driver_.consensus().owns(keyspace)) {
      count += co_await countRelyingInKeyspace(host, store);
      continue;
    }
    std::optional<Address> const owner = driver_.ownerAddress(keyspace);
    if (!owner) throw Error(ErrorCode::noOwner);
    CountRelyingLots const question{host, store, 0};
    CountRelyingLotsReply const answer = co_await rpc_.call(*owner, question, settings_.bounds.inTouch);
    count += answer.lots;
  }
  co_return count;
}

}  // namespace tealshelf

// Counts the lots that still depend on a store to be removed.
#include "lots/coordination/lot_coordinator.hpp"

namespace tealshelf {

/// Asks all holders of a host's lots to confirm their replicas.
Task<ConfirmedReplicas> LotCoordinator::confirmHeldReplicas(string host) {
  std::map<NodeId, ConfirmReplicas> requests;
  std::map<NodeId, Address> addresses;
  for (auto const& [id, record] : driver_.consensus().committedValues(keyspaceOf(host))) {
    LotRecord const lot = deserialize<LotRecord>(record);
    for (StoreRef const& holder : lot.holders) {
      requests[holder.id].replicas.push_back({lot.host, lot.id, lot.lowestReplicaStamp()});
      addresses[holder.id] = holder.address;
    }
  }
  ConfirmedReplicas confirmed;
  for (auto const& [store, request] : requests) {
    try {
      ConfirmReplicasReply const reply = co_await rpc_.call(addresses[store], request, settings_.bounds.inTouch / 4);
      confirmed.add(store, request, reply);
    } catch (Error const& error) {
      logDebug("lots", "store " + hex(store.value) + " didn't confirm its replicas: " + error.what());
    }
  }
  co_return confirmed;
}

/// Counts the lots of an owned keyspace that still depend on a store. From the first call on the store gets no new
/// replicas.
Task<std::uint64_t> LotCoordinator::countRelyingInKeyspace(string host, string store) {
  string const keyspace = keyspaceOf(host);
  TimePoint const excludedSince = excludedStores_.try_emplace(store, Clock::now()).first->second;
  co_await confirmOwnership(host);
  std::uint64_t count = 0;
  for (auto const& [key, opening] : opening_)
    if (key.host == host && opening.startedAt <= excludedSince) ++count;
  for (auto const& [id, record] : driver_.consensus().committedValues(keyspace)) {
    LotStatus const& status = lots_[{host, id}];
    // A recovery that began before the store was excluded may still name it.
    bool const mayName = status.recovering && status.recoveryStartedAt <= excludedSince;
    if (mayName || namesStore(deserialize<LotRecord>(record), store)) ++count;
  }
  if (count) co_return count;
  ConfirmedReplicas const confirmed = co_await confirmHeldReplicas(host);
  // Records may have changed during the calls to the stores.
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
    CountRelyingLots const request{host, store, 0};
    CountRelyingLotsReply const reply = co_await rpc_.call(*owner, request, settings_.bounds.inTouch);
    count += reply.lots;
  }
  co_return count;
}

}  // namespace tealshelf

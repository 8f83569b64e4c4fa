// Appends results at all holders, lists them, and answers reads.
#include "lots/execution/lot_runner.hpp"

namespace tealshelf {

namespace {
/// Added per result to the size of its text when a page is limited in size.
constexpr std::size_t resultOverheadBytes = 128;

struct ResultCounts {
  std::uint64_t total = 0;   ///< items of the lot
  std::uint64_t listed = 0;  ///< results that may be read
};

/// Listed results starting at the requested position, up to the requested size.
template <class ItemId>
ReadResultsReply makeResultsPage(Replica const& replica, ReadResults const& request, ResultCounts const& lot,
                                 ItemId itemId) {
  ReadResultsReply reply;
  reply.total = lot.total;
  std::size_t bytes = 0;
  std::uint64_t const end = std::min<std::uint64_t>(lot.listed, replica.results.size());
  for (std::uint64_t position = request.from; position < end; ++position) {
    ResultRecord result = deserialize<ResultRecord>(replica.results[position]);
    bytes += result.text.size() + resultOverheadBytes;
    if (bytes > request.maxBytes && !reply.results.empty()) break;
    reply.itemIds.push_back(itemId(result.item));
    reply.results.push_back(std::move(result));
  }
  return reply;
}
}  // namespace

Task<void> LotRunner::listResultsLoop() {
  for (;;) {
    bool listed = true;
    while (listed) listed = co_await listResults();
    listResultsTimer_.expires_after(settings_.bounds.step);
    error_code ignored;
    co_await listResultsTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

vector<LotRunner::ResultBatch> LotRunner::collectBatches() {
  vector<ResultBatch> batches;
  std::size_t const neededCopies = static_cast<std::size_t>(settings_.surviveMachines) + 1;
  for (auto const& [key, run] : runs_) {
    LotRecord const& lot = run->lot;
    if (run->stalled || run->unlistedResults.empty() || lot.holders.size() < neededCopies) continue;
    Replica const* const replica = replicas_.table().find(key);
    if (!replica || replica->lot.stamp != lot.stamp) {
      run->stalled = true;
      continue;
    }
    ResultBatch batch{run, {key.host, key.id, lot.stamp, replica->results.size(), {}}, true};
    for (ResultRecord const& result : run->unlistedResults) batch.part.records.push_back(serialize(result));
    batches.push_back(std::move(batch));
  }
  return batches;
}

std::map<NodeId, LotRunner::HolderBatch> LotRunner::groupByHolder(vector<ResultBatch> const& batches) const {
  std::map<NodeId, HolderBatch> holders;
  for (std::size_t index = 0; index < batches.size(); ++index)
    for (StoreRef const& holder : batches[index].run->lot.holders) {
      if (holder.id == replicas_.id()) continue;
      holders[holder.id].holder = holder;
      holders[holder.id].batches.push_back(index);
    }
  return holders;
}

Task<bool> LotRunner::listResults() {
  if (!replicas_.diskHealthy()) co_return false;
  vector<ResultBatch> batches = collectBatches();
  if (batches.empty()) co_return false;
  for (ResultBatch const& batch : batches)
    replicas_.table().append(batch.part.key(), batch.part.stamp, batch.part.from, batch.part.records);
  replicas_.persist();
  bool const ownDiskSynced = co_await appendToHolders(batches);
  for (ResultBatch& batch : batches)
    if (batch.run->lot.stamp == batch.part.stamp) listBatch(batch, !ownDiskSynced);
  co_return true;
}

Task<bool> LotRunner::appendToHolders(vector<ResultBatch>& batches) {
  std::map<NodeId, HolderBatch> holders = groupByHolder(batches);
  std::size_t outstanding = holders.size();
  asio::steady_timer allAnswered(io_, TimePoint::max());
  for (auto& [id, holder] : holders) {
    AppendResults request;
    for (std::size_t const index : holder.batches) request.parts.push_back(batches[index].part);
    HolderBatch* const target = &holder;
    asio::co_spawn(io_, rpc_.call(holder.holder.address, request, settings_.bounds.inTouch / 6),
                   [target, &outstanding, &allAnswered](std::exception_ptr failure, AppendResultsReply reply) {
                     if (!failure) target->reply = std::move(reply);
                     if (!--outstanding) allAnswered.cancel();
                   });
  }
  bool ownDiskSynced = true;
  try {
    co_await replicas_.persistAndSync();
  } catch (Error const& error) {
    logDebug("segments", error.what());
    ownDiskSynced = false;
  }
  // The handlers of all replies refer to this coroutine's locals, so none may outlive it.
  error_code ignored;
  while (outstanding) co_await allAnswered.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  for (auto const& [id, holder] : holders)
    for (std::size_t i = 0; i < holder.batches.size(); ++i) {
      bool const accepted = holder.reply && i < holder.reply->accepted.size() && holder.reply->accepted[i];
      if (accepted) continue;
      ResultBatch& batch = batches[holder.batches[i]];
      batch.acceptedByAll = false;
      if (batch.run->lot.stamp == batch.part.stamp) batch.run->failedHolders.insert(id);
    }
  co_return ownDiskSynced;
}

void LotRunner::listBatch(ResultBatch& batch, bool ownDiskFailed) {
  LotRun& run = *batch.run;
  if (!batch.acceptedByAll || ownDiskFailed) {
    run.stalled = true;
    run.needsSettlement = ownDiskFailed;
    return;
  }
  std::size_t const count = batch.part.records.size();
  run.listedResults = std::max(run.listedResults, batch.part.from + count);
  if (run.listedResults == run.lot.itemCount) {
    std::int64_t const tookMs = run.lot.dueInMs - remainingTimeMs(run.lot, Clock::now());
    logInfo("lots", "lot " + run.lot.id + " is complete after " + std::to_string(tookMs) +
                        " ms; results: " + std::to_string(run.lot.itemCount));
  }
  run.unlistedResults.erase(run.unlistedResults.begin(),
                            run.unlistedResults.begin() + static_cast<std::ptrdiff_t>(count));
  run.wakeReaders();
}

LotRunner::RunPtr LotRunner::requireRun(LotKey const& key, GenerationStamp stamp) const {
  auto const run = runs_.find(key);
  if (run == runs_.end() || run->second->lot.stamp != stamp || !hasLease()) throw Error(ErrorCode::staleStamp, key.id);
  return run->second;
}

/// Reads a sealed lot. Any intact replica has its results, and no lease is needed because they never change.
ReadResultsReply LotRunner::readSealed(ReadResults const& request) const {
  Replica const& replica = replicas_.table().readAtLeast(request.key(), request.stamp, request.sealedResults);
  vector<ItemRecord> const items = deserialize<vector<ItemRecord>>(replica.items);
  return makeResultsPage(replica, request, {items.size(), request.sealedResults},
                         [&items](std::uint32_t item) { return items.at(item).id; });
}

Task<ReadResultsReply> LotRunner::readResults(ReadResults request) {
  if (request.sealed) co_return readSealed(request);
  Ms const hold = std::min(Ms(request.holdMs), settings_.bounds.inTouch);
  TimePoint const until = Clock::now() + hold;
  for (;;) {
    RunPtr const run = requireRun(request.key(), request.stamp);
    Replica const& replica = replicas_.table().read(request.key(), request.stamp);
    if (!replica.settledSinceStart) throw Error(ErrorCode::staleStamp, request.lot);
    bool const canAnswer = run->listedResults > request.from || run->ended() || Clock::now() >= until;
    if (canAnswer) co_return resultsFrom(*run, replica, request);
    std::shared_ptr<asio::steady_timer> const reader = std::make_shared<asio::steady_timer>(io_, until);
    run->readers.insert(reader);
    error_code ignored;
    co_await reader->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    run->readers.erase(reader);
  }
}

ReadResultsReply LotRunner::resultsFrom(LotRun const& run, Replica const& replica, ReadResults const& request) const {
  return makeResultsPage(replica, request, {run.lot.itemCount, run.listedResults},
                         [&run](std::uint32_t item) { return run.items.record(item).id; });
}

Task<ReadItemReply> LotRunner::readItem(ReadItem request) {
  RunPtr const run = requireRun(request.key(), request.stamp);
  Replica const& replica = replicas_.table().read(request.key(), request.stamp);
  for (ItemRecord& item : deserialize<vector<ItemRecord>>(replica.items))
    if (item.id == request.item) co_return ReadItemReply{true, false, std::move(item.body)};
  co_return ReadItemReply{};
}

}  // namespace tealshelf

#include "wire/rpc_traffic.hpp"

#include <sstream>

namespace tealshelf {

namespace {
struct MethodName {
  RpcMethod method;
  string_view name;
};
constexpr MethodName methodNames[] = {
    {RpcMethod::consensusMessages, "consensus_messages"},
    {RpcMethod::heartbeat, "heartbeat"},
    {RpcMethod::hello, "hello"},
    {RpcMethod::copyAll, "copy_all"},
    {RpcMethod::join, "join"},
    {RpcMethod::updates, "updates"},
    {RpcMethod::forwardCall, "forward_call"},
    {RpcMethod::compareRegistry, "compare_registry"},
    {RpcMethod::storeHeartbeat, "store_heartbeat"},
    {RpcMethod::fenceStore, "fence_store"},
    {RpcMethod::openLot, "open_lot"},
    {RpcMethod::acceptLot, "accept_lot"},
    {RpcMethod::findLot, "find_lot"},
    {RpcMethod::endLot, "end_lot"},
    {RpcMethod::countRelyingLots, "count_relying_lots"},
    {RpcMethod::createReplica, "create_replica"},
    {RpcMethod::appendResults, "append_results"},
    {RpcMethod::inspectReplica, "inspect_replica"},
    {RpcMethod::settleReplica, "settle_replica"},
    {RpcMethod::copyReplica, "copy_replica"},
    {RpcMethod::readResults, "read_results"},
    {RpcMethod::readItem, "read_item"},
    {RpcMethod::fetchReplica, "fetch_replica"},
    {RpcMethod::startLot, "start_lot"},
    {RpcMethod::confirmReplicas, "confirm_replicas"},
    {RpcMethod::takeCredit, "take_credit"},
    {RpcMethod::pushTallies, "push_tallies"},
};
constexpr string_view unknownMethod = "unknown";
constexpr char const* unknownZone = "unknown";
/// Limit of the number of series, as methods and zones come from peers; further ones share an overflow series.
constexpr std::size_t maxSeries = 2048;
/// Number of series in a summary.
constexpr std::size_t maxInSummary = 8;

char const* nameOf(TrafficDirection direction) {
  return direction == TrafficDirection::sent ? "sent" : "received";
}
}  // namespace

string_view nameOf(RpcMethod method) {
  for (MethodName const& known : methodNames)
    if (known.method == method) return known.name;
  return unknownMethod;
}

RpcTraffic::Series& RpcTraffic::seriesOf(Key const& key) {
  auto const known = series_.find(key);
  if (known != series_.end()) return known->second;
  Key const overflow{key.direction, RpcMethod(), unknownZone};
  MetricLabels const labels{
      {"direction", nameOf(key.direction)}, {"kind", string(nameOf(key.method))}, {"peer_zone", key.zone}};
  if (series_.size() >= maxSeries && key != overflow) return seriesOf(overflow);
  Series const created{metrics_.counter("tealshelf_rpc_bytes_total", "Bytes between own processes", labels),
                       metrics_.counter("tealshelf_rpc_messages_total", "Messages between own processes", labels)};
  return series_.emplace(key, created).first->second;
}

void RpcTraffic::count(TrafficDirection direction, RpcMethod method, string const& peerZone, std::size_t bytes) {
  bool const isKnown = nameOf(method) != unknownMethod;
  Series& series = seriesOf(Key{direction, isKnown ? method : RpcMethod(), peerZone.empty() ? unknownZone : peerZone});
  series.bytes.increment(bytes);
  series.messages.increment();
}

string RpcTraffic::summary(double seconds) {
  struct Row {
    std::uint64_t bytes, messages;
    Key const* key;
  };
  vector<Row> rows;
  for (auto& [key, series] : series_) {
    std::uint64_t const bytes = series.bytes.value() - series.bytesBefore;
    std::uint64_t const messages = series.messages.value() - series.messagesBefore;
    series.bytesBefore += bytes;
    series.messagesBefore += messages;
    if (messages) rows.push_back({bytes, messages, &key});
  }
  if (rows.empty()) return "";
  std::sort(rows.begin(), rows.end(), [](Row const& left, Row const& right) { return left.bytes > right.bytes; });
  if (rows.size() > maxInSummary) rows.resize(maxInSummary);
  std::ostringstream text;
  text.precision(3);
  text << "in " << seconds << " s:";
  for (Row const& row : rows)
    text << " " << nameOf(row.key->direction) << " " << nameOf(row.key->method) << " " << row.key->zone << " "
         << row.messages << " of " << row.bytes << " B;";
  return text.str();
}

RpcTraffic& rpcTraffic() {
  static RpcTraffic instance(metrics());
  return instance;
}

}  // namespace tealshelf

#pragma once
#include "base/metrics.hpp"
#include "wire/rpc.hpp"

namespace tealshelf {

enum class TrafficDirection { sent, received };

/// Counts messages and bytes between tealshelf processes by direction, method and zone of the peer.
///
/// Bytes are those of frames, without TCP overhead. The counts are exported as metrics
/// (`tealshelf_rpc_bytes_total`, `tealshelf_rpc_messages_total`). Used on the io thread.
class RpcTraffic {
 public:
  explicit RpcTraffic(Metrics& metrics) : metrics_(metrics) {}
  /// The zone that this process reports to its peers; "" until it is set.
  void setOwnZone(string zone) { ownZone_ = std::move(zone); }
  string const& ownZone() const { return ownZone_; }
  /// Counts one message. A peer with an unknown zone is counted under "unknown".
  void count(TrafficDirection direction, RpcMethod method, string const& peerZone, std::size_t bytes);
  /// One line with the counts since the last call, most bytes first; `seconds` is the time since then. "" if there were
  /// no messages.
  string summary(double seconds);

 private:
  struct Key {
    TrafficDirection direction;
    RpcMethod method;
    string zone;
    auto operator<=>(Key const&) const = default;
  };
  struct Series {
    Counter bytes, messages;
    std::uint64_t bytesBefore = 0, messagesBefore = 0;  ///< at the last summary
  };
  Series& seriesOf(Key const& key);

  Metrics& metrics_;
  string ownZone_;
  std::map<Key, Series> series_;
};

/// The traffic of this process.
RpcTraffic& rpcTraffic();

/// The name of a method in metrics and logs; "unknown" if it has none.
string_view nameOf(RpcMethod method);

}  // namespace tealshelf

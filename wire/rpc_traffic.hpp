#pragma once
#include "base/metrics.hpp"
#include "wire/rpc.hpp"

namespace tealshelf {

enum class TrafficDirection { sent, received };

/// Counts messages and bytes between own processes by direction, kind of message and zone of the peer.
///
/// Bytes are those of frames, without TCP. Each series is a metric
/// (`tealshelf_rpc_bytes_total`, `tealshelf_rpc_messages_total`). Used on the io thread.
class RpcTraffic {
 public:
  explicit RpcTraffic(Metrics& metrics) : metrics_(metrics) {}
  /// The zone that this process tells its peers; "" until it is set.
  void setOwnZone(string zone) { ownZone_ = std::move(zone); }
  string const& ownZone() const { return ownZone_; }
  /// Counts one message. A peer whose zone isn't known yet is counted under "unknown".
  void count(TrafficDirection direction, RpcMethod method, string const& peerZone, std::size_t bytes);
  /// One line on what was counted since the last call, largest first, with its seconds; "" if nothing was.
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

/// The name of a kind of message in metrics and logs; "unknown" for a number that isn't in use.
string_view nameOf(RpcMethod method);

}  // namespace tealshelf

#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The peers that connect to one kind of listener. Each kind has a part of the process's limits for itself, so that a
/// crowd at one listener takes nothing from the others.
enum class PeerKind : std::uint8_t {
  client,  ///< of an edge node; and workers and operators at a control node
  probe,   ///< readers of the readiness and the metrics
  node     ///< other nodes of the system
};
constexpr std::size_t peerKinds = 3;
string_view nameOf(PeerKind kind);

/// What all peers of one kind may make the process hold at once.
struct PeerLimit {
  std::size_t connections = std::numeric_limits<std::size_t>::max();  ///< that are served
  std::size_t refusals = std::numeric_limits<std::size_t>::max();     ///< connections that are being refused, besides
  std::size_t bytes = std::numeric_limits<std::size_t>::max();        ///< of requests and answers
};

/// What a process may hold for its peers, derived from the limits of its machine.
struct PeerLimits {
  std::array<PeerLimit, peerKinds> byKind;
  std::size_t workerConnections = std::numeric_limits<std::size_t>::max();  ///< that this process opened

  PeerLimit const& of(PeerKind kind) const { return byKind[static_cast<std::size_t>(kind)]; }
  /// From `limits.memoryMb` and `limits.openFiles`.
  static PeerLimits from(Settings const& settings);
};

}  // namespace tealshelf

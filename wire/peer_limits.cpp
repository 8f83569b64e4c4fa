#include "wire/peer_limits.hpp"

namespace tealshelf {

namespace {
/// Shares of the process's memory and descriptors.
struct Share {
  PeerKind kind;
  double ofMemory, ofDescriptors;
};
constexpr Share peerShares[] = {
    {PeerKind::client, 1.0 / 2, 1.0 / 2}, {PeerKind::probe, 1.0 / 32, 1.0 / 32}, {PeerKind::node, 1.0 / 4, 1.0 / 8}};
constexpr double workerShareOfDescriptors = 1.0 / 4;
/// Descriptors of the standard streams, the event loop, listeners and logs.
constexpr std::int64_t ownDescriptors = 200;
constexpr std::size_t minConnections = 4;
/// Share of a kind's connections that may be under refusal, and of its memory that connections take by themselves.
constexpr std::size_t refusalDivisor = 8, connectionMemoryDivisor = 4;
/// Memory of a connection without a request: its socket, its task and what the kernel keeps.
constexpr std::size_t connectionBytes = 8u << 10;

PeerLimit limitOf(Share const& share, Settings const& settings) {
  double const memory = static_cast<double>(settings.memoryMb) * (1u << 20) * share.ofMemory;
  std::size_t const forConnections = static_cast<std::size_t>(memory) / connectionMemoryDivisor;
  double const descriptors = static_cast<double>(std::max<std::int64_t>(0, settings.openFiles - ownDescriptors));
  std::size_t const total = std::clamp(static_cast<std::size_t>(descriptors * share.ofDescriptors), minConnections,
                                       std::max(minConnections, forConnections / connectionBytes));
  PeerLimit limit;
  limit.refusals = std::max<std::size_t>(1, total / refusalDivisor);
  limit.connections = total - limit.refusals;
  limit.bytes = static_cast<std::size_t>(memory) - total * connectionBytes;
  return limit;
}
}  // namespace

string_view nameOf(PeerKind kind) {
  switch (kind) {
    case PeerKind::client:
      return "client";
    case PeerKind::probe:
      return "probe";
    case PeerKind::node:
      return "node";
  }
  return "";
}

PeerLimits PeerLimits::from(Settings const& settings) {
  PeerLimits limits;
  for (Share const& share : peerShares) limits.byKind[static_cast<std::size_t>(share.kind)] = limitOf(share, settings);
  double const descriptors = static_cast<double>(std::max<std::int64_t>(0, settings.openFiles - ownDescriptors));
  limits.workerConnections = std::max(minConnections, static_cast<std::size_t>(descriptors * workerShareOfDescriptors));
  return limits;
}

}  // namespace tealshelf

#pragma once
#include "tests/processes/crowd_checks.hpp"
#include "wire/frames.hpp"

namespace tealshelf {

inline Behaviour const idle{"", "", 0};

/// Real processes, and crowds at one of their listeners.
struct ListenerRig {
  explicit ListenerRig(RigLimits const& limits = {}) : rig(limits) {}
  CrowdResult playAtReadiness(std::size_t size, Behaviour const& behaviour) {
    return play({ProcessRig::Role::edge, rig.readiness(), size, behaviour}, rig.readiness(), "/readiness");
  }
  CrowdResult playAtControl(std::size_t size, Behaviour const& behaviour) {
    return play({ProcessRig::Role::control, rig.control(), size, behaviour}, rig.control(), "/settings");
  }
  CrowdResult playAtMetrics(ProcessRig::Role role, std::size_t size, Behaviour const& behaviour) {
    return play({role, rig.metricsOf(role), size, behaviour}, rig.metricsOf(role), "/metrics");
  }
  /// At the listener for other nodes; an ordinary request shows that the nodes still work together.
  CrowdResult playAtInternal(ProcessRig::Role role, std::size_t size, Behaviour const& behaviour) {
    return playCrowd(rig, {role, rig.internalOf(role), size, behaviour},
                     [this] { return rig.servesOrdinaryRequest(); });
  }
  CrowdResult play(CrowdPlay const& crowd, Address const& at, string const& path) {
    string const request = requestText("GET", path, "Host: a\r\n", "");
    return playCrowd(rig, crowd,
                     [&] { return ProcessRig::answersWith(200, at, request) && rig.servesOrdinaryRequest(); });
  }
  string helloTo(ProcessRig::Role role) const {
    ConnectionHello const hello{protocolVersion, rig.internalOf(role), 1, "hall"};
    return wire::encodeFrame(0, RpcMethod(), wire::FrameKind::hello, serialize(hello));
  }
  /// The header of a frame that announces the largest body.
  static string frameStart() {
    string frame = wire::encodeFrame(1, RpcMethod::updates, wire::FrameKind::call, "");
    std::uint32_t const size = wire::maxFrameBytes;
    std::memcpy(frame.data(), &size, sizeof size);
    return frame;
  }
  ProcessRig rig;
};
}  // namespace tealshelf

#pragma once
#include "consensus/membership.hpp"
#include "tallies/tally_messages.hpp"

namespace tealshelf {

/// What a node knows of another one that keeps tallies.
struct TallyPeer {
  /// Since when the peer has made no progress with an origin of which this node knows more.
  struct Stagnation {
    std::uint64_t number = 0;
    TimePoint since;
  };
  /// The state that is being sent to the peer.
  struct OutgoingState {
    std::uint64_t transfer = 0;
    string bytes;
    std::uint64_t offset = 0;
  };

  Member member;
  bool reported = false;  ///< it has told what it has, in this life of this process
  VersionVector synced;   ///< what it has on its disk, by its last report
  std::map<OriginId, Stagnation> stagnation;
  bool awaitsReply = false;
  bool failed = true;           ///< the last push had no answer, or none was made
  int ticksWithoutReply = 0;    ///< in a row, while a push or a repeat of it was due
  int differingHeartbeats = 0;  ///< heartbeats in a row with another digest
  bool probeIsDue = false;      ///< it is asked what it has, even if it lacks nothing
  bool mayLackSettled = false;
  TimePoint nextPushAt;
  std::optional<OutgoingState> outgoing;
};

}  // namespace tealshelf

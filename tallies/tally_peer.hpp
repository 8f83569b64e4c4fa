#pragma once
#include "consensus/membership.hpp"
#include "tallies/tally_messages.hpp"

namespace tealshelf {

/// What a replica knows of another member.
struct TallyPeer {
  /// An origin of which the peer lacks additions that this node has, and since when it has made no progress with it.
  struct Stagnation {
    std::uint64_t sequence = 0;  ///< that the peer has
    TimePoint since;
  };
  /// A whole state that is being sent to the peer in chunks.
  struct OutgoingState {
    std::uint64_t transfer = 0;
    string bytes;
    std::uint64_t offset = 0;
  };

  Member member;
  bool reported = false;  ///< the peer has reported what it has since this process started
  VersionVector synced;   ///< by the peer's last report
  std::map<OriginId, Stagnation> stagnation;
  bool awaitsReply = false;
  bool failed = true;           ///< the last push had no answer, or none has been sent yet
  int ticksWithoutReply = 0;    ///< consecutive, while a push was unanswered or its retry was due
  int differingHeartbeats = 0;  ///< consecutive heartbeats with a digest other than this node's
  bool probeIsDue = false;      ///< the peer is asked what it has, even if it lacks nothing
  bool mayLackSettled = false;
  TimePoint nextPushAt;
  std::optional<OutgoingState> outgoing;
};

}  // namespace tealshelf

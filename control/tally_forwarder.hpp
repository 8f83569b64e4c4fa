#pragma once
#include "consensus/consensus.hpp"
#include "control/messages.hpp"
#include "tallies/tally_store.hpp"

namespace tealshelf {

/// Forwards calls to members, for a node that can't answer them from its own table.
///
/// An answer counts only if it includes what this process acknowledged (TallySession). Members of releases that don't
/// report this are asked for their sequence numbers by an empty TallyPush, which all releases answer.
class TallyForwarder {
 public:
  TallyForwarder(Settings const& settings, RpcClient& rpc, Consensus const& consensus, TallyStore& store);
  /// Adds at the first member that accepts the call, those of this node's zone first. Throws notReady if none was
  /// reached, and an undetermined error if the addition may have been counted.
  Task<CallReply> add(ForwardedCall call);
  /// Reads at the first member that has all that this process acknowledged. While members are reached but lack some of
  /// it, they are asked again for a fifth of `inTouchMs`, within the budget of the call. Throws notReady if none has
  /// it.
  Task<CallReply> read(ForwardedCall call);

 private:
  /// The other members, those of this node's zone first.
  vector<Member> members() const;
  /// Sends the call to a member; throws notReady if no time is left.
  Task<CallReply> send(Member const& member, ForwardedCall call, TimePoint end);
  /// Sends a read, and finds out what the answer includes.
  Task<CallReply> readAt(Member const& member, ForwardedCall const& call, TimePoint end);
  /// Asks all members once. The answer is empty if none has what the call requires.
  Task<std::optional<CallReply>> readRound(ForwardedCall const& call, TimePoint end, TallySurvey& survey);
  /// What a member of any release has synced.
  Task<VersionVector> syncedAt(Member const& member, TimePoint end);
  /// The same once the member has counted an addition, whose outcome is unknown to the caller if this fails.
  Task<VersionVector> syncedAfterAddition(Member const& member, TimePoint end);
  Ms answerTimeout() const { return settings_.bounds.inTouch / 8; }
  Ms pauseBetweenRounds() const { return settings_.bounds.inTouch / 80; }

  Settings const& settings_;
  RpcClient& rpc_;
  Consensus const& consensus_;
  TallyStore& store_;
};

}  // namespace tealshelf

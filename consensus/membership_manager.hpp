#pragma once
#include "consensus/control_messages.hpp"
#include "consensus/membership_policy.hpp"

namespace tealshelf {

class ConsensusDriver;

/// Creates, joins and changes the membership of control nodes, and copies all keys to this node when it needs them.
///
/// Runs on the io thread. The driver must outlive it.
class MembershipManager {
 public:
  MembershipManager(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver);
  /// Registers the handlers of membership calls and starts the loops.
  void start(RpcServer& server);

 private:
  /// Copies requested from several nodes.
  struct PendingCopies {
    explicit PendingCopies(asio::io_context& io) : timer(io, TimePoint::max()) {}
    asio::steady_timer timer;  ///< cancelled once enough copies have arrived or none is outstanding
    std::map<NodeId, DiskCopy> received;
    std::size_t outstanding = 0;
  };

  Task<void> joinLoop();
  /// Takes the next step towards becoming a voting member, or towards leaving. True if this node was promoted.
  Task<bool> joinStep();
  /// Installs the membership that a seed knows. If no seed knows one and all may bootstrap, creates the first.
  Task<void> discoverOrBootstrap();
  bool mayJoin() const;
  /// Copies all keys as a learner, then asks the members and the seeds to be promoted. True if this node was promoted.
  Task<bool> requestJoin();
  /// Asks to remove this leaving node at once if, as long as it is a member, the others tolerate too few losses.
  Task<void> requestRemoval();
  void warnIfTooSmall();

  /// Copies all keys. A learner copies from a majority of the voters, so that little is left to copy after its
  /// promotion. A member without a vote copies from a majority of the former voters, none of which acknowledges
  /// anything under the former membership once it has answered.
  Task<void> copyAll();
  void requestCopy(Member const& source, MembershipNumber membership, std::shared_ptr<PendingCopies> copies,
                   std::size_t needed);
  void installCopies(std::map<NodeId, DiskCopy> copies);
  Task<CopyReply> handleCopyRequest(CopyRequest const& request);

  /// Changes the membership, or forwards the request to the owner of the members keyspace. True if the change was made
  /// or the node is a member already.
  Task<bool> handleChangeRequest(MembershipChangeRequest request);
  Task<bool> changeMembership(MembershipChangeRequest const& request);
  Task<void> maintenanceLoop();
  /// Removes a member that has been silent for long, if the membership is larger than its minimum; sooner if, as long
  /// as it is a member, the others tolerate too few losses.
  Task<void> removeSilentMember();
  std::size_t minMembers() const;
  /// Flushes the output of the consensus and sends heartbeats, which carry the current membership.
  void publish();

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  ConsensusDriver& driver_;
  Consensus& consensus_;
  /// Copies made as a learner, by source, and the membership under which they were made.
  std::map<NodeId, DiskCopy> learnerCopies_;
  MembershipNumber learnerCopiedUnder_;
  bool changing_ = false;
  bool sizeChecked_ = false;
  TimePoint startedAt_ = Clock::now();
};

}  // namespace tealshelf

#pragma once
#include "consensus/control_messages.hpp"
#include "consensus/membership_policy.hpp"

namespace tealshelf {

class ConsensusDriver;

/// Founds, joins and changes the membership of control nodes, and copies all keys where this node needs them.
///
/// Runs on the io thread. The driver must outlive it.
class MembershipManager {
 public:
  MembershipManager(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver);
  /// Starts the loops and the handlers of the calls about membership.
  void start(RpcServer& server);

 private:
  /// Copies on their way from several nodes.
  struct PendingCopies {
    explicit PendingCopies(asio::io_context& io) : timer(io, TimePoint::max()) {}
    asio::steady_timer timer;  ///< cancelled once enough have arrived, or none is outstanding
    std::map<NodeId, DiskCopy> received;
    std::size_t outstanding = 0;
  };

  Task<void> joinLoop();
  /// Does the next thing that this node needs to become a voting member, or to leave. True if it was promoted.
  Task<bool> joinStep();
  /// Installs the membership that the seeds know. If none knows one and all may found one, founds the first.
  Task<void> discoverOrBootstrap();
  bool mayJoin() const;
  /// Asks the members, and the seeds, for a place as a member; first copies all keys as a learner. True if this node
  /// was promoted.
  Task<bool> askToJoin();
  /// A node that leaves asks to be removed at once if the others survive too few losses while it counts.
  Task<void> askToLeave();
  void warnIfTooSmall();

  /// Copies all keys: as a learner from a majority of the voters, to be quick later; as a member without a vote from a
  /// majority of the former voters, all of which are sealed by the present membership.
  Task<void> copyAll();
  void requestCopy(Member const& source, MembershipNumber membership, std::shared_ptr<PendingCopies> copies,
                   std::size_t needed);
  void installCopies(std::map<NodeId, DiskCopy> copies);
  Task<CopyReply> answerCopy(CopyRequest const& request);

  /// Changes the membership, or hands the request on to the owner of its keyspace. True if it was changed so.
  Task<bool> handleChangeRequest(MembershipChangeRequest request);
  Task<bool> changeMembership(MembershipChangeRequest const& request);
  Task<void> maintenanceLoop();
  /// Removes a member that is gone for good, where the membership is larger than it must be; sooner if those who are
  /// left survive too few losses while it counts.
  Task<void> removeSilentMember();
  std::size_t minMembers() const;
  /// Writes records, sends messages, and tells everybody of the present membership.
  void publish();

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  ConsensusDriver& driver_;
  Consensus& consensus_;
  /// What a learner copied before its promotion, by source, and under which membership.
  std::map<NodeId, DiskCopy> learnerCopies_;
  MembershipNumber learnerCopiedUnder_;
  bool changing_ = false;
  bool sizeChecked_ = false;
  TimePoint startedAt_ = Clock::now();
};

}  // namespace tealshelf

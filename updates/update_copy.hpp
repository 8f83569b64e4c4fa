#pragma once
#include "updates/update_publisher.hpp"

namespace tealshelf {

/// What a node has of the updates, kept in its publisher so that it can serve it on.
class UpdateCopy {
 public:
  enum class Result {
    applied,
    outdated,  ///< its proof is older than that of what is here
    gap,       ///< its delta leads from another content; all is asked for next
    tooDeep,   ///< the chain of relays would get too long
    unhealthy
  };
  /// A chain of relays is never longer than this.
  static constexpr int maxDepth = 2;

  UpdateCopy(UpdatePublisher& publisher, string zone, Ms slack)
      : publisher_(publisher), zone_(std::move(zone)), slack_(slack) {}
  /// Applies a reply to a request that was sent at a time. Content of an older proof than what is here, by more than a
  /// slack for the network, is refused; a configuration never goes back.
  Result apply(UpdateReply const& reply, TimePoint sentAt, std::function<void(TableRow const&)> const& onCommonChange,
               std::function<void(TableRow const&)> const& onZoneChange);
  /// Fills in the versions to ask with.
  void fillVersions(UpdateRequest& request) const;
  /// When control last had a majority, by what was applied.
  TimePoint provenAt() const { return provenAt_; }
  int depth() const { return depth_; }

 private:
  UpdatePublisher& publisher_;
  string zone_;
  Ms slack_;
  TimePoint provenAt_;
  int depth_ = 0;
  bool gap_ = false;
};

}  // namespace tealshelf

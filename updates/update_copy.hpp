#pragma once
#include "updates/update_publisher.hpp"

namespace tealshelf {

/// A subscriber's copy of the published updates, kept in its publisher so that it can relay them.
class UpdateCopy {
 public:
  enum class Result {
    applied,
    outdated,  ///< its proof is older than that of the copy
    gap,       ///< its delta doesn't apply to the copy; full tables are requested next
    tooDeep,   ///< the chain of relays would become too long
    unhealthy
  };
  /// The longest chain of relays.
  static constexpr int maxDepth = 2;

  UpdateCopy(UpdatePublisher& publisher, string zone, Ms slack)
      : publisher_(publisher), zone_(std::move(zone)), slack_(slack) {}
  /// Applies a reply to a request that was sent at `sentAt`. Refuses tables whose proof is older than that of the copy
  /// by more than the slack, which allows for network delay; never goes back to an older configuration.
  Result apply(UpdateReply const& reply, TimePoint sentAt, std::function<void(TableRow const&)> const& onCommonChange,
               std::function<void(TableRow const&)> const& onZoneChange);
  /// Fills in the versions of the copy.
  void fillVersions(UpdateRequest& request) const;
  /// When the control plane last had a majority, according to the applied replies.
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

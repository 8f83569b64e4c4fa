#pragma once
#include "consensus/consensus.hpp"
#include "updates/sources.hpp"

namespace tealshelf {

/// A data-plane node's part in the spreading of updates, with no input or output of its own: whom to
/// ask, what to ask with, what to make of an answer, and what to relay.
class UpdateNode {
 public:
  /// Spans as ratios to the bounds of the settings.
  struct Times {
    Ms inTouch, tooOld;
    /// Updates older than a third of the tighter of applyWithin and drain is left and not relayed.
    static Times of(Bounds const& b) { return {Ms(b.inTouch), Ms(std::min(b.applyWithin, b.drain) / 3)}; }
  };
  /// What shall be asked of whom.
  struct Plan {
    Address at;
    bool parent = false;
    Ms hold{0}, limit{0};
    UpdateRequest ask;
  };
  UpdateNode(NodeRow self, Times t, vector<Address> seeds, std::function<Address(string const&)> controlAt,
             UpdatePublisher& publisher);
  /// A worker changed, or a control node did.
  std::function<void(TableRow const&)> onRow;
  Plan plan(TimePoint now);
  /// The ask with which a node that knows nothing begins, at any control node.
  Plan firstPlan(Address at, TimePoint now);
  /// An answer came; true if its sender may be asked on.
  bool got(Plan const& p, UpdateReply const& r, TimePoint sent, TimePoint now);
  /// No answer came in time.
  void missed(Address const& at, TimePoint now) { sources_.failed(at, now); }
  void worked(Address const& at) { sources_.worked(at); }
  bool resting(TimePoint now) const { return sources_.resting(now); }
  vector<Address> controls(TimePoint now) const { return sources_.controls(now); }
  TimePoint fresh() const { return copy_.fresh(); }
  bool relays() const { return relay_; }
  /// What this node can say for the updates that it relays.
  UpdatePublisher::Proof proof(TimePoint now) const {
    return {publisher_.configurationVersion() && now - copy_.fresh() < times_.tooOld, copy_.depth(), copy_.fresh()};
  }

 private:
  void arrange();
  UpdateRequest ask(TimePoint now, Ms hold, bool first);
  NodeRow self_;
  Times times_;
  vector<Address> seeds_;
  std::function<Address(string const&)> controlAt_;
  UpdatePublisher& publisher_;
  UpdateCopy copy_;
  Sources sources_;
  std::map<string, Member> members_;
  bool relay_ = false, wantsList_ = false;
};

}  // namespace tealshelf

#pragma once
#include "consensus/membership.hpp"
#include "updates/update_copy.hpp"
#include "updates/update_sources.hpp"

namespace tealshelf {

/// A data-plane node's part in the spreading of updates, with no input or output of its own: whom to ask, what to ask
/// with, what to make of a reply, and what to relay.
class UpdateSubscriber {
 public:
  /// Durations as ratios to the bounds of the settings.
  struct Timeouts {
    Ms inTouch;
    /// A source whose updates are older is left, and what is older is not relayed: a third of the tighter of
    /// applyWithin and drain.
    Ms maxUpdateAge;
    static Timeouts of(Bounds const& bounds) {
      return {bounds.inTouch, std::min(bounds.applyWithin, bounds.drain) / 3};
    }
  };
  /// What shall be asked of whom.
  struct Plan {
    Address source;
    bool fromParent = false;
    Ms hold{0}, timeout{0};
    UpdateRequest request;
  };

  UpdateSubscriber(DataNode self, Timeouts timeouts, vector<Address> seeds,
                   std::function<Address(string const&)> controlAddress, UpdatePublisher& publisher);
  /// Called when a worker or a control node changed.
  std::function<void(TableRow const&)> onRow;
  /// Brings what this node says of itself up to date before a request.
  std::function<void(DataNode&)> updateSelf;
  /// True while answers are awaited that must not be late: the node asks in the shortest turns.
  std::function<bool()> needsShortPolls;

  Plan plan(TimePoint now);
  /// The request with which a node that has no configuration yet begins: an introduction at any control node, then all
  /// that it lacks at a node near it.
  Plan firstPlan(Address source, TimePoint now);
  /// True once the node knows whom to ask.
  bool isIntroduced() const { return isIntroduced_; }
  /// Whom to ask while there is no configuration yet, in order.
  vector<Address> firstSources(TimePoint now) const { return sources_.inOrder(now); }
  /// Takes a reply; true if its sender may be asked on.
  bool receive(Plan const& plan, UpdateReply const& reply, TimePoint sentAt, TimePoint now);
  /// No reply came in time.
  void noteFailed(Address const& source, TimePoint now) { sources_.noteFailed(source, now); }
  void noteAnswered(Address const& source) { sources_.noteAnswered(source); }

  bool allSourcesBackingOff(TimePoint now) const { return sources_.allBackingOff(now); }
  vector<Address> controlAddresses(TimePoint now) const { return sources_.controlAddresses(now); }
  /// The members of the control plane, by the key of their row.
  std::map<string, Member> const& members() const { return members_; }
  /// Rises whenever the members change.
  std::uint64_t membersRevision() const { return membersRevision_; }
  TimePoint provenAt() const { return copy_.provenAt(); }
  bool isRelay() const { return isRelay_; }
  /// What this node can say for the updates that it relays.
  UpdatePublisher::Proof proof(TimePoint now) const;

 private:
  /// Works out anew whom this node asks, and whether it relays.
  void recomputeSources();
  vector<Address> controlsByDistance() const;
  UpdateRequest makeRequest(TimePoint now, Ms hold, bool isFirst);
  void applyMemberRow(TableRow const& row);
  bool receiveIntroduction(Plan const& plan, UpdateReply const& reply, TimePoint now);

  DataNode self_;
  Timeouts timeouts_;
  vector<Address> seeds_;
  std::function<Address(string const&)> controlAddress_;
  UpdatePublisher& publisher_;
  UpdateCopy copy_;
  UpdateSources sources_;
  std::map<string, Member> members_;  ///< by the key of their row
  std::uint64_t membersRevision_ = 0;
  bool isRelay_ = false;
  bool isIntroduced_ = false;
  bool sendsNodes_ = false;  ///< the list of nodes that ask here was wanted
};

}  // namespace tealshelf

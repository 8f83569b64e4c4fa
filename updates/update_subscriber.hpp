#pragma once
#include "consensus/membership.hpp"
#include "updates/update_copy.hpp"
#include "updates/update_sources.hpp"

namespace tealshelf {

/// The protocol state of a node that subscribes to updates and may relay them; does no input or output. Plans each
/// request, applies the replies, and selects the sources.
class UpdateSubscriber {
 public:
  /// Durations derived from the bounds of the settings.
  struct Timeouts {
    Ms inTouch;
    /// A relay whose updates are older counts as failed, and older updates aren't relayed: a third of the smaller of
    /// applyWithin and drain.
    Ms maxUpdateAge;
    static Timeouts of(Bounds const& bounds) {
      return {bounds.inTouch, std::min(bounds.applyWithin, bounds.drain) / 3};
    }
  };
  /// The next request and the source to send it to.
  struct Plan {
    Address source;
    bool fromParent = false;
    Ms hold{0}, timeout{0};
    UpdateRequest request;
  };

  UpdateSubscriber(DataNode self, Timeouts timeouts, vector<Address> seeds,
                   std::function<Address(string const&)> controlAddress, UpdatePublisher& publisher);
  /// Called for each changed row of the common table.
  std::function<void(TableRow const&)> onRow;
  /// Updates the description of this node before a request.
  std::function<void(DataNode&)> updateSelf;
  /// True while updates are urgent, so that the node polls with the shortest hold time.
  std::function<bool()> needsShortPolls;

  Plan plan(TimePoint now);
  /// The request of a node that has no configuration yet: first an introduction by any control node, then all tables
  /// from a source near it.
  Plan firstPlan(Address source, TimePoint now);
  /// True once the node knows its sources.
  bool isIntroduced() const { return isIntroduced_; }
  /// Sources to ask while there is no configuration yet, in order.
  vector<Address> firstSources(TimePoint now) const { return sources_.inOrder(now); }
  /// Applies a reply; true if the source remains usable.
  bool receive(Plan const& plan, UpdateReply const& reply, TimePoint sentAt, TimePoint now);
  /// Records that a source didn't reply in time.
  void noteFailed(Address const& source, TimePoint now) { sources_.noteFailed(source, now); }
  void noteAnswered(Address const& source) { sources_.noteAnswered(source); }

  bool allSourcesBackingOff(TimePoint now) const { return sources_.allBackingOff(now); }
  vector<Address> controlAddresses(TimePoint now) const { return sources_.controlAddresses(now); }
  /// The members of the control plane by row key.
  std::map<string, Member> const& members() const { return members_; }
  /// Increases whenever the members change.
  std::uint64_t membersRevision() const { return membersRevision_; }
  TimePoint provenAt() const { return copy_.provenAt(); }
  bool isRelay() const { return isRelay_; }
  /// The proof that this node sends with the updates that it relays.
  UpdatePublisher::Proof proof(TimePoint now) const;

 private:
  /// Recomputes the sources of this node and whether it is a relay.
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
  std::map<string, Member> members_;  ///< by row key
  std::uint64_t membersRevision_ = 0;
  bool isRelay_ = false;
  bool isIntroduced_ = false;
  bool sendsNodes_ = false;  ///< the source asked for the list of nodes that poll this one
};

}  // namespace tealshelf

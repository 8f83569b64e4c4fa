#pragma once
#include "news/sources.hpp"

namespace tealshelf {

/// A data-plane node's part in the spreading of news, with no input or output of its own: whom to
/// ask, what to ask with, what to make of an answer, and what to relay.
class NewsNode {
 public:
  /// Spans as ratios to the bounds of the settings.
  struct Times {
    Ms inTouch, tooOld;
    /// News older than a third of the tighter of applyWithin and drain is left and not relayed.
    static Times of(Bounds const& b) { return {Ms(b.inTouch), Ms(std::min(b.applyWithin, b.drain) / 3)}; }
  };
  /// What shall be asked of whom.
  struct Plan {
    Addr at;
    bool parent = false;
    Ms hold{0}, limit{0};
    NewsAsk ask;
  };
  NewsNode(NodeRow self, Times t, vector<Addr> seeds, std::function<Addr(string const&)> controlAt, NewsHub& hub);
  /// A worker changed, or a control node did.
  std::function<void(BookRow const&)> onRow;
  Plan plan(Moment now);
  /// The ask with which a node that knows nothing begins, at any control node.
  Plan firstPlan(Addr at, Moment now);
  /// An answer came; true if its sender may be asked on.
  bool got(Plan const& p, NewsReply const& r, Moment sent, Moment now);
  /// No answer came in time.
  void missed(Addr const& at, Moment now) { sources_.failed(at, now); }
  void worked(Addr const& at) { sources_.worked(at); }
  bool resting(Moment now) const { return sources_.resting(now); }
  vector<Addr> controls(Moment now) const { return sources_.controls(now); }
  Moment fresh() const { return copy_.fresh(); }
  bool relays() const { return relay_; }
  /// What this node can say for the news that it relays.
  NewsHub::Proof proof(Moment now) const {
    return {hub_.charterVersion() && now - copy_.fresh() < times_.tooOld, copy_.depth(), copy_.fresh()};
  }

 private:
  void arrange();
  NewsAsk ask(Moment now, Ms hold, bool first);
  NodeRow self_;
  Times times_;
  vector<Addr> seeds_;
  std::function<Addr(string const&)> controlAt_;
  NewsHub& hub_;
  NewsCopy copy_;
  Sources sources_;
  std::map<string, Member> members_;
  bool relay_ = false, wantsList_ = false;
};

}  // namespace tealshelf

#pragma once
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// What the choice of a worker goes by.
struct Want {
  string service;
  std::uint64_t key = 0;           ///< hash of the shared parts of the prompt: the session that is pinned
  std::uint64_t sharedTokens = 0;  ///< tokens of the shared parts
  std::uint64_t tokens = 0;        ///< work in tokens, in and ten times out
  bool sticky = false;             ///< the route pins its sessions
  bool behind = false;             ///< takes only what others leave
  double leave = 0;                ///< part of the slots to be left free, if behind
};

/// How loaded and how well each worker is, by what this node has seen of it.
class Balance {
 public:
  explicit Balance(Settings const& settings) : settings_(settings) {}
  /// The best worker; null if there is none. Passed-over ones are tried last.
  Worker const* pick(FleetView const& s, Want const& w, std::set<string> const& tried);
  /// A request goes there that has so many prompt tokens to be read; then its first piece came; then it ended.
  void began(string const& id, std::uint64_t tokens);
  void first(string const& id, std::uint64_t tokens);
  void ended(string const& id);
  /// The worker's own word on running, waiting and slots.
  void told(string const& id, std::array<std::uint64_t, 3> const& b);
  /// It turned a request away as full.
  void full(string const& id);
  /// It broke off or couldn't be reached.
  void broke(string const& id, bool hard);
  void well(string const& id);
  double load(Worker const& w, TimePoint now) const;
  void sweep(FleetView const& s);

 private:
  struct Row {
    std::int64_t own = 0, base = 0, since = 0, unread = 0, unreadRequests = 0, waiting = 0;
    TimePoint told, outUntil, fullUntil;
    int breaks = 0;
  };
  /// The workers of a service with what is known of them, worked out anew only when they change.
  struct Candidate {
    Worker const* worker;
    std::uint64_t hash;
    Row* row;
  };
  struct CandidateList {
    std::uint64_t revision = 0;
    vector<Candidate> all;
  };
  CandidateList const& candidates(FleetView const& s, string const& service);
  double load(Row const& r, Worker const& w, TimePoint now) const;
  /// Load plus what a new prompt would wait behind, in the same measure.
  double cost(Row const& r, Worker const& w, TimePoint now) const;
  std::uint64_t dice();
  Settings const& settings_;
  std::map<string, Row> rows_;
  std::map<string, CandidateList> candidates_;
  std::uint64_t dice_ = randomId();
};

}  // namespace tealshelf

#pragma once
#include "configuration/change_decision.hpp"

/// A check of linearizability for histories of orders and reads, against the chain of configurations that were taken.
namespace tealshelf::sim {

enum class Answer { none, acknowledged, refused };

/// One attempt at an order as its operator saw it; without an answer it may have come into force at any later time.
struct Attempt {
  ChangeId order;
  TimePoint from, to;
  Answer answer = Answer::none;
};
/// A read that was answered: the version seen.
struct ReadEvent {
  TimePoint from, to;
  std::uint64_t version = 0;
};

/// Orders and reads are linearizable if each order of the chain can be given one moment, in the chain's order, within
/// its attempts, such that all answers agree. With the chain known, taking each moment as early as the answers allow
/// finds such moments if there are any.
class LinearizabilityChecker {
 public:
  vector<Attempt> attempts;
  vector<ReadEvent> reads;

  /// What is wrong with the history; empty if nothing is.
  string check(std::map<std::uint64_t, AcceptedChange> const& chain) const {
    vector<Place> places(1);  // The empty state before the first order.
    for (std::pair<std::uint64_t const, AcceptedChange> const& link : chain) {
      Place place;
      place.order = ChangeId{link.second.baseVersion, link.second.digest};
      place.version = link.second.version;
      if (link.second.baseVersion != places.back().version)
        return "the chain has a gap at " + std::to_string(link.first);
      if (place.version <= places.back().version) return "versions don't rise at " + std::to_string(link.first);
      places.push_back(place);
    }
    string fault;
    for (Attempt const& attempt : attempts)
      if (fault.empty()) fault = bound(places, attempt);
    for (ReadEvent const& read : reads)
      if (fault.empty()) fault = bound(places, read);
    return fault.empty() ? place(places) : fault;
  }

 private:
  struct Place {
    ChangeId order;
    std::uint64_t version = 0;
    TimePoint earliest = TimePoint::max(), latest = TimePoint::max();
    TimePoint notBefore;  ///< the state before was still seen then
  };

  static string bound(vector<Place>& places, Attempt const& attempt) {
    vector<Place>::iterator const at =
        std::find_if(places.begin() + 1, places.end(), [&](Place const& p) { return p.order == attempt.order; });
    string const name = "the order on " + std::to_string(attempt.order.baseVersion);
    if (at != places.end()) {
      if (attempt.answer == Answer::refused) return name + " was taken and refused";
      at->earliest = std::min(at->earliest, attempt.from);
      if (attempt.answer == Answer::acknowledged) at->latest = std::min(at->latest, attempt.to);
      return "";
    }
    if (attempt.answer == Answer::acknowledged) return name + " was acknowledged and isn't in force";
    if (attempt.answer != Answer::refused) return "";
    // It lost its race to an order on the same base, which must have been there by then.
    for (std::size_t i = 0; i < places.size(); ++i) {
      if (places[i].version != attempt.order.baseVersion) continue;
      if (i + 1 == places.size()) return name + " was refused though its base is current";
      places[i + 1].latest = std::min(places[i + 1].latest, attempt.to);
    }
    return "";
  }
  static string bound(vector<Place>& places, ReadEvent const& read) {
    for (std::size_t i = 0; i < places.size(); ++i) {
      if (places[i].version != read.version) continue;
      places[i].latest = std::min(places[i].latest, read.to);
      if (i + 1 < places.size()) places[i + 1].notBefore = std::max(places[i + 1].notBefore, read.from);
      return "";
    }
    return "version " + std::to_string(read.version) + " was read and never taken";
  }
  static string place(vector<Place> const& places) {
    TimePoint now;
    for (std::size_t i = 1; i < places.size(); ++i) {
      string const name = "version " + std::to_string(places[i].version);
      if (places[i].earliest == TimePoint::max()) return name + " was never sent";
      now = std::max({now, places[i].earliest, places[i].notBefore});
      if (now > places[i].latest) return name + " was seen before and not seen after";
    }
    return "";
  }
};

}  // namespace tealshelf::sim

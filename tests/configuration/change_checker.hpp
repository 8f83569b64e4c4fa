#pragma once
#include "configuration/change_decision.hpp"

/// A check of linearizability for histories of orders and reads, against the chain of configurations that were taken.
namespace tealshelf::sim {

enum class Answer { none, acknowledged, refused };

/// One attempt at an order as its operator saw it; without an answer it may have come into force at any later time.
struct Attempt {
  ChangeId change;
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
    vector<Step> steps(1);  // The empty state before the first change.
    for (std::pair<std::uint64_t const, AcceptedChange> const& link : chain) {
      Step step;
      step.change = ChangeId{link.second.baseVersion, link.second.digest};
      step.version = link.second.version;
      if (link.second.baseVersion != steps.back().version)
        return "the chain has a gap at " + std::to_string(link.first);
      if (step.version <= steps.back().version) return "versions don't rise at " + std::to_string(link.first);
      steps.push_back(step);
    }
    string fault;
    for (Attempt const& attempt : attempts)
      if (fault.empty()) fault = bound(steps, attempt);
    for (ReadEvent const& read : reads)
      if (fault.empty()) fault = bound(steps, read);
    return fault.empty() ? findMoments(steps) : fault;
  }

 private:
  struct Step {
    ChangeId change;
    std::uint64_t version = 0;
    TimePoint earliest = TimePoint::max(), latest = TimePoint::max();
    TimePoint notBefore;  ///< the state before was still seen then
  };

  static string bound(vector<Step>& steps, Attempt const& attempt) {
    vector<Step>::iterator const at =
        std::find_if(steps.begin() + 1, steps.end(), [&](Step const& step) { return step.change == attempt.change; });
    string const name = "the order on " + std::to_string(attempt.change.baseVersion);
    if (at != steps.end()) {
      if (attempt.answer == Answer::refused) return name + " was taken and refused";
      at->earliest = std::min(at->earliest, attempt.from);
      if (attempt.answer == Answer::acknowledged) at->latest = std::min(at->latest, attempt.to);
      return "";
    }
    if (attempt.answer == Answer::acknowledged) return name + " was acknowledged and isn't in force";
    if (attempt.answer != Answer::refused) return "";
    // It lost its race to an order on the same base, which must have been there by then.
    for (std::size_t i = 0; i < steps.size(); ++i) {
      if (steps[i].version != attempt.change.baseVersion) continue;
      if (i + 1 == steps.size()) return name + " was refused though its base is current";
      steps[i + 1].latest = std::min(steps[i + 1].latest, attempt.to);
    }
    return "";
  }
  static string bound(vector<Step>& steps, ReadEvent const& read) {
    for (std::size_t i = 0; i < steps.size(); ++i) {
      if (steps[i].version != read.version) continue;
      steps[i].latest = std::min(steps[i].latest, read.to);
      if (i + 1 < steps.size()) steps[i + 1].notBefore = std::max(steps[i + 1].notBefore, read.from);
      return "";
    }
    return "version " + std::to_string(read.version) + " was read and never taken";
  }
  static string findMoments(vector<Step> const& steps) {
    TimePoint now;
    for (std::size_t i = 1; i < steps.size(); ++i) {
      string const name = "version " + std::to_string(steps[i].version);
      if (steps[i].earliest == TimePoint::max()) return name + " was never sent";
      now = std::max({now, steps[i].earliest, steps[i].notBefore});
      if (now > steps[i].latest) return name + " was seen before and not seen after";
    }
    return "";
  }
};

}  // namespace tealshelf::sim

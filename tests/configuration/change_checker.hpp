#pragma once
#include "configuration/change_decision.hpp"

/// A check of linearizability for histories of changes and reads, against the chain of accepted changes.
namespace tealshelf::sim {

enum class Answer { none, acknowledged, refused };

/// One attempt at a change as the operator saw it; without an answer it may have taken effect at any later time.
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

/// Changes and reads are linearizable if each change of the chain can be assigned a moment, in the order of the chain
/// and within its attempts, such that all answers agree. As the chain is known, assigning each moment as early as the
/// answers allow finds such moments if there are any.
class LinearizabilityChecker {
 public:
  vector<Attempt> attempts;
  vector<ReadEvent> reads;

  /// Describes a violation; empty if the history is linearizable.
  string check(std::map<std::uint64_t, AcceptedChange> const& chain) const {
    vector<Step> steps(1);  // The empty state before the first change.
    for (std::pair<std::uint64_t const, AcceptedChange> const& link : chain) {
      Step step;
      step.change = ChangeId{link.second.baseVersion, link.second.digest};
      step.version = link.second.version;
      if (link.second.baseVersion != steps.back().version)
        return "the chain has a gap at change " + std::to_string(link.first);
      if (step.version <= steps.back().version)
        return "the version doesn't increase at change " + std::to_string(link.first);
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
    TimePoint notBefore;  ///< the previous state was still read then
  };

  static string bound(vector<Step>& steps, Attempt const& attempt) {
    vector<Step>::iterator const at =
        std::find_if(steps.begin() + 1, steps.end(), [&](Step const& step) { return step.change == attempt.change; });
    string const name = "the change on version " + std::to_string(attempt.change.baseVersion);
    if (at != steps.end()) {
      if (attempt.answer == Answer::refused) return name + " was accepted and refused";
      at->earliest = std::min(at->earliest, attempt.from);
      if (attempt.answer == Answer::acknowledged) at->latest = std::min(at->latest, attempt.to);
      return "";
    }
    if (attempt.answer == Answer::acknowledged) return name + " was acknowledged and isn't in the chain";
    if (attempt.answer != Answer::refused) return "";
    // Another change on the same base was accepted first, so it was in effect by then.
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
    return "version " + std::to_string(read.version) + " was read and never accepted";
  }
  static string findMoments(vector<Step> const& steps) {
    TimePoint now;
    for (std::size_t i = 1; i < steps.size(); ++i) {
      string const name = "version " + std::to_string(steps[i].version);
      if (steps[i].earliest == TimePoint::max()) return name + " was never sent";
      now = std::max({now, steps[i].earliest, steps[i].notBefore});
      if (now > steps[i].latest) return name + " was observed and a later read didn't observe it";
    }
    return "";
  }
};

}  // namespace tealshelf::sim

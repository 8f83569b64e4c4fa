#include "tallies/tally_session.hpp"

namespace tealshelf {

void TallySurvey::add(VersionVector const& nodeKnows) {
  for (auto const& [origin, sequence] : nodeKnows) raiseTo(known, origin, sequence);
}

void TallySession::noteAcknowledged(VersionVector const& additions) {
  for (auto const& [origin, sequence] : additions)
    if (raiseTo(required_, origin, sequence)) missing_.erase(origin);
}

std::size_t TallySession::noteUnmet(TallySurvey const& survey, TimePoint now) {
  if (!survey.isComplete) {
    missing_.clear();
    return 0;
  }
  std::size_t lost = 0;
  for (auto const& [origin, sequence] : survey.required) {
    // What was acknowledged after the round began wasn't asked for.
    if (sequenceIn(required_, origin) != sequence) continue;
    std::uint64_t const present = sequenceIn(survey.known, origin);
    if (present >= sequence) {
      missing_.erase(origin);
      continue;
    }
    auto const [entry, isNew] = missing_.try_emplace(origin, Missing{present, now});
    if (!isNew && entry->second.present != present) entry->second = Missing{present, now};
    if (now - entry->second.since < lossTimeout_) continue;
    missing_.erase(entry);
    required_[origin] = present;
    if (!present) required_.erase(origin);
    ++lost;
  }
  return lost;
}

}  // namespace tealshelf

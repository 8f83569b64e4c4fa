#include "tools/soak/platform_ledger.hpp"

namespace tealshelf::soak {

bool PlatformLedger::admit(DutyCall const& call) {
  std::uint64_t& highest = highestFences_[call.subject];
  if (call.fence < highest) return false;
  highest = call.fence;
  return true;
}

vector<string> PlatformLedger::record(DutyCall const& call, TimePoint now) {
  vector<string> violations;
  string const& holder = holders_.emplace(std::pair(call.subject, call.fence), call.owner).first->second;
  if (holder != call.owner)
    violations.push_back(call.subject + ": fence " + std::to_string(call.fence) + " is used by " + holder + " and " +
                         call.owner);
  std::deque<AcceptedCall>& recent = recent_[call.subject];
  while (!recent.empty() && now - recent.front().at >= lease_) recent.pop_front();
  bool calledByOther = false;
  for (auto accepted = recent.rbegin(); accepted != recent.rend(); ++accepted) {
    if (accepted->owner != call.owner) calledByOther = true;
    if (accepted->owner == call.owner && calledByOther) {
      violations.push_back(call.subject + ": " + call.owner +
                           " calls again within a lease after a call of another owner");
      break;
    }
  }
  recent.push_back({call.owner, now});
  if (!call.window) return violations;
  string const& report = reports_.emplace(*call.window, call.body).first->second;
  if (report != call.body)
    violations.push_back("window " + std::to_string(*call.window) + " has two different reports");
  return violations;
}

std::size_t PlatformLedger::gaps() const {
  if (reports_.empty()) return 0;
  std::int64_t const span = reports_.rbegin()->first - reports_.begin()->first + 1;
  return static_cast<std::size_t>(span) - reports_.size();
}

}  // namespace tealshelf::soak

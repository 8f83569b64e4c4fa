#include "duties/service_load_table.hpp"

namespace tealshelf {

void ServiceLoadTable::update(string const& reporter, vector<ServiceLoad> loads, TimePoint now) {
  std::erase_if(entries_, [this, now](auto const& item) { return now - item.second.at > expiry_; });
  entries_[reporter] = Entry{std::move(loads), now};
}

std::map<string, ServiceLoad> ServiceLoadTable::sums(TimePoint now) const {
  std::map<string, ServiceLoad> sums;
  for (auto const& [reporter, entry] : entries_) {
    if (now - entry.at > expiry_) continue;
    for (ServiceLoad const& load : entry.loads) {
      ServiceLoad& sum = sums[load.service];
      sum.service = load.service;
      sum.inFlight += load.inFlight;
      sum.backlog += load.backlog;
    }
  }
  return sums;
}

}  // namespace tealshelf

#include "tools/soak/cut_table.hpp"

#include <filesystem>
#include <fstream>

namespace tealshelf::soak {

NetworkFaultTable::NetworkFaultTable(string path) : path_(std::move(path)) {
  publish();
}

void NetworkFaultTable::cut(string const& from, string const& to) {
  ++linkCuts_[{from, to}];
}

void NetworkFaultTable::mend(string const& from, string const& to) {
  auto const way = linkCuts_.find({from, to});
  if (way != linkCuts_.end() && --way->second == 0) linkCuts_.erase(way);
}

void NetworkFaultTable::injectAnswerLoss(string const& caller, double share) {
  if (share > 0)
    answerLossShares_[caller] = share;
  else
    answerLossShares_.erase(caller);
}

void NetworkFaultTable::publish() const {
  string const next = path_ + ".next";
  std::ofstream file(next);
  for (auto const& [way, count] : linkCuts_) file << "cut " << way.from << " " << way.to << "\n";
  for (auto const& [caller, share] : answerLossShares_) file << "lose " << caller << " " << share << "\n";
  file.close();
  std::filesystem::rename(next, path_);
}

}  // namespace tealshelf::soak

#include "tools/soak/network_fault_table.hpp"

#include <filesystem>
#include <fstream>

namespace tealshelf::soak {

NetworkFaultTable::NetworkFaultTable(string path) : path_(std::move(path)) {
  publish();
}

void NetworkFaultTable::cut(string const& from, string const& to) {
  ++linkCuts_[{from, to}];
}

void NetworkFaultTable::restore(string const& from, string const& to) {
  auto const link = linkCuts_.find({from, to});
  if (link != linkCuts_.end() && --link->second == 0) linkCuts_.erase(link);
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
  for (auto const& [link, count] : linkCuts_) file << "cut " << link.from << " " << link.to << "\n";
  for (auto const& [caller, share] : answerLossShares_) file << "lose " << caller << " " << share << "\n";
  file.close();
  std::filesystem::rename(next, path_);
}

}  // namespace tealshelf::soak

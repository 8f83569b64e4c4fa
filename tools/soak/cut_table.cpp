#include "tools/soak/cut_table.hpp"

#include <filesystem>
#include <fstream>

namespace tealshelf::soak {

CutTable::CutTable(string path) : path_(std::move(path)) {
  publish();
}

void CutTable::cut(string const& from, string const& to) {
  ++cuts_[{from, to}];
}

void CutTable::mend(string const& from, string const& to) {
  auto const way = cuts_.find({from, to});
  if (way != cuts_.end() && --way->second == 0) cuts_.erase(way);
}

void CutTable::loseAnswers(string const& caller, double share) {
  if (share > 0)
    lostShares_[caller] = share;
  else
    lostShares_.erase(caller);
}

void CutTable::publish() const {
  string const next = path_ + ".next";
  std::ofstream file(next);
  for (auto const& [way, count] : cuts_) file << "cut " << way.from << " " << way.to << "\n";
  for (auto const& [caller, share] : lostShares_) file << "lose " << caller << " " << share << "\n";
  file.close();
  std::filesystem::rename(next, path_);
}

}  // namespace tealshelf::soak

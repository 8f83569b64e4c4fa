#include "tools/soak/log_scan.hpp"

#include <filesystem>

namespace tealshelf::soak {

namespace {
struct LinePattern {
  string_view text, name;
};
/// Lines that are counted, by a part of their text.
constexpr std::array<LinePattern, 4> countedLines{{{"is recovered under stamp", "log lines of recoveries"},
                                                   {"E607", "log lines with E607"},
                                                   {"E606", "log lines with E606"},
                                                   {" stopped: ", "log lines of tasks that stopped"}}};

void scanLine(string const& line, string const& file, Verdict& verdict) {
  bool const isError = line.starts_with("E ");
  if (isError && line.find(" invariant") != string::npos) verdict.fail("invariant", file + ": " + line);
  for (LinePattern const& pattern : countedLines)
    if (line.find(pattern.text) != string::npos) verdict.count(pattern.name);
}
}  // namespace

void scanLogs(string const& directory, Verdict& verdict) {
  for (std::filesystem::directory_entry const& entry : std::filesystem::directory_iterator(directory)) {
    std::ifstream file(entry.path());
    string line;
    while (std::getline(file, line)) scanLine(line, entry.path().filename().string(), verdict);
  }
}

}  // namespace tealshelf::soak

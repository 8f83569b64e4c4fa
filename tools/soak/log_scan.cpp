#include "tools/soak/log_scan.hpp"

#include <filesystem>

namespace tealshelf::soak {

namespace {
struct LinePattern {
  string_view text, name;
};
/// Log lines that are counted, identified by a part of their text.
constexpr std::array<LinePattern, 7> countedLines{{{"taken usage", "usage reports taken"},
                                                   {"taken capacity", "orders of workers taken"},
                                                   {"holds the duties", "claims of the duties"},
                                                   {"is recovered under stamp", "log lines of recoveries"},
                                                   {"E607", "log lines with E607"},
                                                   {"E606", "log lines with E606"},
                                                   {" stopped: ", "log lines of tasks that stopped"}}};

/// Prefix of a violation that the stand-in platform detected; the rule and the text follow.
constexpr string_view failedMark = "FAILED ";

void noteFailure(string const& failure, Verdict& verdict) {
  std::size_t const colon = failure.find(": ");
  if (colon != string::npos) verdict.fail(failure.substr(0, colon), failure.substr(colon + 2));
}

void scanLine(string const& line, string const& file, Verdict& verdict) {
  bool const isError = line.starts_with("E ");
  if (isError && line.find(" invariant") != string::npos) verdict.fail("invariant", file + ": " + line);
  if (line.starts_with(failedMark)) noteFailure(line.substr(failedMark.size()), verdict);
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

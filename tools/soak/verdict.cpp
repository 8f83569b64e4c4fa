#include "tools/soak/verdict.hpp"

#include <iostream>

namespace tealshelf::soak {

namespace {
/// Failed checks printed to the console; a run may have thousands.
constexpr std::uint64_t maxShown = 25;
}  // namespace

Verdict::Verdict(string directory, std::uint64_t seed)
    : directory_(std::move(directory)), seed_(seed), events_(directory_ + "/events.txt") {}

string Verdict::stamp() const {
  char text[48];
  double const seconds = std::chrono::duration<double>(Clock::now() - startedAt_).count();
  std::snprintf(text, sizeof text, "seed %llu %8.3f s", static_cast<unsigned long long>(seed_), seconds);
  return text;
}

void Verdict::fail(string_view rule, string const& text) {
  failed_.push_back({string(rule), text});
  string const line = stamp() + " BROKEN " + string(rule) + ": " + text;
  events_ << line << std::endl;
  if (failures() <= maxShown) std::cout << line << " (logs: " << directory_ << ")" << std::endl;
}

void Verdict::note(string const& text) {
  string const line = stamp() + " " + text;
  events_ << line << std::endl;
  std::cout << line << std::endl;
}

void Verdict::trace(string const& text) {
  events_ << stamp() << " " << text << "\n";
}

void Verdict::summarize() {
  string line = "counts:";
  for (auto const& [what, count] : counts_) line += " " + what + " " + std::to_string(count) + ",";
  line.pop_back();
  note(line);
  note(failures() ? std::to_string(failures()) + " checks FAILED; all logs: " + directory_ : "all checks passed");
}

}  // namespace tealshelf::soak

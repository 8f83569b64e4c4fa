#include "wire/fault_injection.hpp"

#ifdef TEALSHELF_FAULTS

#include "wire/tasks.hpp"

#include <sys/stat.h>

#include <fstream>
#include <sstream>

namespace tealshelf {

namespace {
constexpr Ms faultPollInterval{5};

string environmentValue(char const* name) {
  char const* const value = std::getenv(name);
  return value ? value : "";
}

/// A value from modification time and inode that changes when the file is replaced; -1 if there is no file.
std::int64_t versionOf(string const& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return -1;
  constexpr std::int64_t nanoseconds = 1'000'000'000;
  std::int64_t const writtenAt = status.st_mtim.tv_sec * nanoseconds + status.st_mtim.tv_nsec;
  return (writtenAt ^ (static_cast<std::int64_t>(status.st_ino) << 40)) & INT64_MAX;
}
}  // namespace

FaultInjection& FaultInjection::instance() {
  static FaultInjection faults;
  return faults;
}

FaultInjection::FaultInjection()
    : path_(environmentValue("TEALSHELF_FAULT_FILE")), self_(environmentValue("TEALSHELF_FAULT_SELF")) {}

void FaultInjection::refresh() {
  if (path_.empty()) return;
  TimePoint const now = Clock::now();
  if (now - lastCheckedAt_ < faultPollInterval) return;
  lastCheckedAt_ = now;
  std::int64_t const version = versionOf(path_);
  if (version == version_) return;
  version_ = version;
  readFile();
}

void FaultInjection::readFile() {
  blockedDestinations_.clear();
  blockedSources_.clear();
  replyLossRate_ = 0;
  std::ifstream file(path_);
  string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    string kind, first, second;
    words >> kind >> first >> second;
    if (kind == "cut" && first == self_) blockedDestinations_.insert(second);
    if (kind == "cut" && second == self_) blockedSources_.insert(first);
    if (kind == "lose" && first == self_) replyLossRate_ = std::strtod(second.c_str(), nullptr);
  }
}

bool FaultInjection::blocksSending(string const& to) {
  refresh();
  return blockedDestinations_.contains(to);
}

bool FaultInjection::blocksReceiving(string const& from) {
  refresh();
  return blockedSources_.contains(from);
}

bool FaultInjection::losesReply() {
  refresh();
  if (replyLossRate_ <= 0) return false;
  constexpr std::uint64_t steps = 1u << 20;
  return static_cast<double>(randomId() % steps) < replyLossRate_ * static_cast<double>(steps);
}

Task<bool> waitUntilReachable(std::function<bool()> isBlocked, TimePoint until) {
  while (isBlocked()) {
    if (Clock::now() >= until) co_return false;
    co_await sleepFor(faultPollInterval);
  }
  co_return true;
}

}  // namespace tealshelf

#endif

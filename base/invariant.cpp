#include "base/invariant.hpp"

#include "base/logging.hpp"

#include <array>
#include <atomic>
#include <bit>
#include <mutex>

namespace tealshelf {

namespace {
constexpr std::size_t invariantCount = static_cast<std::size_t>(Invariant::count);

/// In the order of the enumerators.
constexpr std::array<std::string_view, invariantCount> names = {
    "acceptedRecordStays",    "acceptedRecordIsKept", "recordStampRises",  "freshStampIsNew",
    "recordNamesHolders",     "epochHasOneOwner",     "epochNeverFalls",   "committedNeverGoesBack",
    "takeoverHoldsCommitted", "membershipOverlaps",   "sealedRecordStays", "freshStampAfterCopies"};
static_assert(!names.back().empty(), "each invariant has a name");

std::array<std::atomic<std::uint64_t>, invariantCount> violations;
std::mutex lastMutex;  ///< guards `last`
std::string last;
}  // namespace

std::string_view nameOf(Invariant invariant) {
  return names.at(static_cast<std::size_t>(invariant));
}

void reportViolation(Invariant invariant, std::string const& detail) {
  std::uint64_t const violationCount = ++violations.at(static_cast<std::size_t>(invariant));
  std::string const name(nameOf(invariant));
  {
    std::lock_guard<std::mutex> const guard(lastMutex);
    last = name + ": " + detail;
  }
  if (!std::has_single_bit(violationCount)) return;
  std::string const repeated = violationCount > 1 ? " (" + std::to_string(violationCount) + " violations so far)" : "";
  logError("invariant " + name, detail + repeated);
}

std::uint64_t violationsOf(Invariant invariant) {
  return violations.at(static_cast<std::size_t>(invariant));
}

std::uint64_t totalViolations() {
  std::uint64_t sum = 0;
  for (std::atomic<std::uint64_t> const& count : violations) sum += count;
  return sum;
}

std::string lastViolation() {
  std::lock_guard<std::mutex> const guard(lastMutex);
  return last;
}

}  // namespace tealshelf

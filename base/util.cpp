#include "base/tealshelf.hpp"

#include <random>

namespace tealshelf {

namespace {
/// Every number with this many digits fits into 64 bits.
constexpr std::size_t maxDigits = 18;

string_view trimmed(string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

std::mt19937_64 seededGenerator() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return std::mt19937_64(seed);
}
}  // namespace

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::int64_t remainingMs(TimePoint until) {
  return std::max<std::int64_t>(0, std::chrono::duration_cast<Ms>(until - Clock::now()).count());
}

std::uint64_t randomId() {
  static std::mt19937_64 generator = seededGenerator();
  std::uint64_t id = 0;
  while (!id) id = generator();
  return id;
}

// FNV-1a, then the finalizer of MurmurHash3, so that similar texts get very different hashes.
std::uint64_t hash64(string_view text, std::uint64_t seed) {
  std::uint64_t hash = 1469598103934665603ull ^ (seed * 0x9e3779b97f4a7c15ull);
  for (char const c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdull;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ull;
  return hash ^ (hash >> 33);
}

std::optional<std::uint64_t> parseNumber(string_view text) {
  if (text.empty() || text.size() > maxDigits) return std::nullopt;
  std::uint64_t number = 0;
  for (char const c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    number = number * 10 + static_cast<std::uint64_t>(c - '0');
  }
  return number;
}

vector<string> split(string_view text, char separator) {
  vector<string> parts;
  while (!text.empty()) {
    std::size_t const end = text.find(separator);
    string_view const part = trimmed(text.substr(0, end));
    if (!part.empty()) parts.emplace_back(part);
    if (end == string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

string lowerCase(string text) {
  for (char& c : text)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return text;
}

string hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace tealshelf

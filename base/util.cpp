#include "base/tealshelf.hpp"

#include <random>

namespace tealshelf {

std::int64_t wallMs() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}
std::int64_t leftMs(Moment until) {
  return std::max<std::int64_t>(0, std::chrono::duration_cast<Ms>(until - Clock::now()).count());
}

std::uint64_t randomId() {
  static std::mt19937_64 g = [] {
    std::random_device d;
    std::seed_seq s{d(), d(), d(), d()};
    return std::mt19937_64(s);
  }();
  std::uint64_t v = 0;
  while (!v) v = g();
  return v;
}

std::uint64_t hashOf(string_view s, std::uint64_t seed) {
  std::uint64_t h = 1469598103934665603ull ^ (seed * 0x9e3779b97f4a7c15ull);
  for (char const c : s) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdull;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ull;
  return h ^ (h >> 33);
}

bool readNumber(string_view s, std::uint64_t& out) {
  if (s.empty() || s.size() > 18) return false;
  std::uint64_t v = 0;
  for (char const c : s) {
    if (c < '0' || c > '9') return false;
    v = v * 10 + static_cast<std::uint64_t>(c - '0');
  }
  out = v;
  return true;
}

vector<string> split(string_view s, char c) {
  vector<string> r;
  while (!s.empty()) {
    std::size_t const p = s.find(c);
    string_view t = s.substr(0, p);
    while (!t.empty() && t.front() == ' ') t.remove_prefix(1);
    while (!t.empty() && t.back() == ' ') t.remove_suffix(1);
    if (!t.empty()) r.emplace_back(t);
    if (p == string_view::npos) break;
    s.remove_prefix(p + 1);
  }
  return r;
}

string hex(std::uint64_t v) {
  char b[17];
  std::snprintf(b, sizeof b, "%016llx", static_cast<unsigned long long>(v));
  return b;
}

}  // namespace tealshelf

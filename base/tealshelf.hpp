#pragma once
// The one common header of tealshelf: libraries, words and types used by every part.
#include <utility>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <msgpack.hpp>

namespace tealshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

using Clock = std::chrono::steady_clock;
using Moment = Clock::time_point;
using Ms = std::chrono::milliseconds;
template <class T>
using Task = asio::awaitable<T>;
using std::string;
using std::string_view;
using std::vector;

/// A value of its own type: two strong types with different tags never mix.
template <class T, class Tag>
struct Strong {
  T v{};
  Strong() = default;
  explicit Strong(T x) : v(std::move(x)) {}
  auto operator<=>(Strong const&) const = default;
  template <class P>
  void msgpack_pack(P& p) const {
    p.pack(v);
  }
  void msgpack_unpack(msgpack::object const& o) { o.convert(v); }
};

using Identity = Strong<std::uint64_t, struct IdentityTag>;            ///< of a disk, made when its folder is empty
using Stamp = Strong<std::uint64_t, struct StampTag>;                  ///< generation stamp of a segment
using MembershipNumber = Strong<std::uint64_t, struct MembershipTag>;  ///< number of a membership

/// Milliseconds since the epoch by the time of day.
std::int64_t wallMs();
/// Milliseconds from now until a moment, never below 0.
std::int64_t leftMs(Moment until);
/// A random number for identities and call ids.
std::uint64_t randomId();
/// Mixes a text into a 64-bit hash, the same on every machine.
std::uint64_t hashOf(string_view s, std::uint64_t seed = 0);
/// Reads a whole non-negative number; false if it is anything else.
bool readNumber(string_view s, std::uint64_t& out);
/// Splits at a character and trims blanks.
vector<string> split(string_view s, char c);
/// 16 hex digits.
string hex(std::uint64_t v);

/// Picks the best of several by rendezvous hashing.
template <class It, class Name>
It rendezvous(It b, It e, string_view key, Name name) {
  It best = e;
  std::uint64_t top = 0;
  for (It i = b; i != e; ++i) {
    std::uint64_t const h = hashOf(name(*i), hashOf(key));
    if (best == e || h > top) {
      best = i;
      top = h;
    }
  }
  return best;
}

}  // namespace tealshelf

#include "base/errors.hpp"
#include "base/log.hpp"
#include "base/settings.hpp"

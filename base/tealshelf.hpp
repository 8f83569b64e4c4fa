#pragma once
// The one common header of tealshelf: libraries, aliases and types that every part uses.
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
using TimePoint = Clock::time_point;
using Ms = std::chrono::milliseconds;
/// A coroutine of the io thread.
template <class T>
using Task = asio::awaitable<T>;
using std::string;
using std::string_view;
using std::vector;

/// A value of a type of its own: two with different tags never mix. It is packed as the bare value.
template <class T, class Tag>
struct StrongType {
  T value{};
  StrongType() = default;
  explicit StrongType(T plain) : value(std::move(plain)) {}
  auto operator<=>(StrongType const&) const = default;
  template <class Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack(value);
  }
  void msgpack_unpack(msgpack::object const& object) { object.convert(value); }
};

/// Of a node's disk, made when its folder is empty; a node without a disk draws one at each start.
using NodeId = StrongType<std::uint64_t, struct NodeIdTag>;
/// Version of a segment's replicas; see segments/replica_table.hpp.
using GenerationStamp = StrongType<std::uint64_t, struct GenerationStampTag>;
using MembershipNumber = StrongType<std::uint64_t, struct MembershipNumberTag>;

/// Milliseconds since the epoch by the time of day.
std::int64_t wallClockMs();
/// Milliseconds from now until a time, never below 0.
std::int64_t remainingMs(TimePoint until);
/// A random number for identities and call ids; never 0.
std::uint64_t randomId();
/// A 64-bit hash of a text, the same on every machine and in every release.
std::uint64_t hash64(string_view text, std::uint64_t seed = 0);
/// Reads a whole non-negative number of up to 18 digits; nothing if the text is anything else.
std::optional<std::uint64_t> parseNumber(string_view text);
/// The parts between separators, without blanks around them; empty parts are left out.
vector<string> split(string_view text, char separator);
/// The text with the letters A to Z in lower case.
string lowerCase(string text);
/// 16 hex digits.
string hex(std::uint64_t value);

}  // namespace tealshelf

#include "base/errors.hpp"
#include "base/logging.hpp"
#include "base/settings.hpp"

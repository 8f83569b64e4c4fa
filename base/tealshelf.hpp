#pragma once
// The common header of tealshelf: libraries, aliases and types that all components use.
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
/// A coroutine that runs on the io thread.
template <class T>
using Task = asio::awaitable<T>;
using std::string;
using std::string_view;
using std::vector;

/// Wraps a value in a distinct type, so that values with different tags can't be mixed. Packed as the plain value.
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

/// Id of a node, stored on its disk and created when the data directory is empty; a node without a disk draws a new one
/// at each start.
using NodeId = StrongType<std::uint64_t, struct NodeIdTag>;
/// Version of a segment's replicas; see segments/replica_table.hpp.
using GenerationStamp = StrongType<std::uint64_t, struct GenerationStampTag>;
using MembershipNumber = StrongType<std::uint64_t, struct MembershipNumberTag>;

/// Milliseconds since the Unix epoch.
std::int64_t wallClockMs();
/// Milliseconds from now until a time point; never negative.
std::int64_t remainingMs(TimePoint until);
/// A random id; never 0.
std::uint64_t randomId();
/// A 64-bit hash that is the same on all machines and in all releases.
std::uint64_t hash64(string_view text, std::uint64_t seed = 0);
/// Parses a non-negative integer of up to 18 digits; nullopt if the text is anything else.
std::optional<std::uint64_t> parseNumber(string_view text);
/// Splits a text at a separator; trims spaces and drops empty parts.
vector<string> split(string_view text, char separator);
/// Converts the letters A to Z to lower case.
string lowerCase(string text);
/// Formats a number as 16 hex digits.
string hex(std::uint64_t value);

}  // namespace tealshelf

#include "base/errors.hpp"
#include "base/logging.hpp"
#include "base/settings.hpp"

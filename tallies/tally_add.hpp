#pragma once
#include "wire/rpc.hpp"

/// Additions to tallies, as they are stored and sent (docs/design-tallies.md).
namespace tealshelf {

/// One log of additions. A disk has one at a time; a new disk, or one that lost synced records, begins another, so that
/// no number is ever used twice.
using OriginId = StrongType<std::uint64_t, struct OriginIdTag>;

/// Names an addition on all nodes: 128 bits of the SHA-256 of the tally's name and the caller's id.
struct AddKey {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(AddKey const&) const = default;
  MSGPACK_DEFINE(high, low)
};
/// The key of a caller's id at a tally.
AddKey addKeyOf(string_view tally, string_view callerId);

/// One addition as its origin took it.
struct TallyAdd {
  string tally;
  AddKey key;
  std::int64_t change = 0;
  std::int64_t acceptedAtMs = 0;  ///< time of day at the origin
  MSGPACK_DEFINE(tally, key, change, acceptedAtMs)
};

/// Where an addition stands: the number in its origin's log, counted from 1.
struct AddPosition {
  OriginId origin;
  std::uint64_t sequence = 0;
  auto operator<=>(AddPosition const&) const = default;
};

/// Additions of one origin in their order, without a gap.
struct AddBatch {
  OriginId origin;
  std::uint64_t first = 0;  ///< number of the first one
  vector<TallyAdd> adds;
  MSGPACK_DEFINE(origin, first, adds)
};

/// For each origin the number up to which all additions are there.
using VersionVector = std::map<OriginId, std::uint64_t>;
/// The number for an origin; 0 if there is none.
std::uint64_t sequenceIn(VersionVector const& vector, OriginId origin);
/// A digest of a vector; 0 is no vector's.
std::uint64_t digestOf(VersionVector const& vector);

/// A sum of changes. No number of additions that fits a disk overflows it.
__extension__ using TallyTotal = __int128;
/// The decimal digits of a sum.
string textOf(TallyTotal total);

}  // namespace tealshelf

#pragma once
#include "wire/rpc.hpp"

/// Additions to tallies, as they are stored and sent (docs/design-tallies.md).
namespace tealshelf {

/// Identifies a log of additions. A disk has one at a time; a new disk, or one that lost synced records, begins
/// another, so that no sequence number is ever used twice.
using OriginId = StrongType<std::uint64_t, struct OriginIdTag>;

/// Identifies an addition on all nodes: 128 bits of the SHA-256 of the tally's name and the caller's id.
struct AddKey {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(AddKey const&) const = default;
  MSGPACK_DEFINE(high, low)
};
/// The key of a caller's id at a tally.
AddKey addKeyOf(string_view tally, string_view callerId);

/// One addition as its origin accepted it.
struct TallyAdd {
  string tally;
  AddKey key;
  std::int64_t change = 0;
  std::int64_t acceptedAtMs = 0;  ///< wall-clock time of the origin
  MSGPACK_DEFINE(tally, key, change, acceptedAtMs)
};

/// The position of an addition: the sequence number in its origin's log, starting at 1.
struct AddPosition {
  OriginId origin;
  std::uint64_t sequence = 0;
  auto operator<=>(AddPosition const&) const = default;
};

/// Consecutive additions of one origin.
struct AddBatch {
  OriginId origin;
  std::uint64_t first = 0;  ///< sequence number of the first one
  vector<TallyAdd> adds;
  MSGPACK_DEFINE(origin, first, adds)
};

/// For each origin the sequence number up to which all additions are present.
using VersionVector = std::map<OriginId, std::uint64_t>;
/// The sequence number for an origin; 0 if there is none.
std::uint64_t sequenceIn(VersionVector const& vector, OriginId origin);
/// Raises the sequence number for an origin; false if it is as large already.
bool raiseTo(VersionVector& vector, OriginId origin, std::uint64_t sequence);
/// True if `known` has every sequence number of `required`.
bool includes(VersionVector const& known, VersionVector const& required);
/// A digest of a vector; never 0.
std::uint64_t digestOf(VersionVector const& vector);

/// A sum of changes. 128 bits: more additions than fit on a disk are needed to overflow it.
__extension__ using TallyTotal = __int128;
/// The decimal digits of a sum.
string textOf(TallyTotal total);

}  // namespace tealshelf

#include "tallies/tally_add.hpp"

#include "configuration/canonical_json.hpp"

namespace tealshelf {

AddKey addKeyOf(string_view tally, string_view callerId) {
  // The length prefix keeps different pairs of name and id from being hashed alike.
  string input = std::to_string(tally.size()) + ":";
  input.append(tally);
  input.append(callerId);
  Digest const digest = sha256(input);
  AddKey key;
  std::memcpy(&key.high, digest.value.data(), sizeof key.high);
  std::memcpy(&key.low, digest.value.data() + sizeof key.high, sizeof key.low);
  return key;
}

std::uint64_t sequenceIn(VersionVector const& vector, OriginId origin) {
  auto const found = vector.find(origin);
  return found == vector.end() ? 0 : found->second;
}

bool raiseTo(VersionVector& vector, OriginId origin, std::uint64_t sequence) {
  if (sequenceIn(vector, origin) >= sequence) return false;
  vector[origin] = sequence;
  return true;
}

bool includes(VersionVector const& known, VersionVector const& required) {
  return std::all_of(required.begin(), required.end(),
                     [&known](auto const& entry) { return sequenceIn(known, entry.first) >= entry.second; });
}

std::uint64_t digestOf(VersionVector const& vector) {
  std::uint64_t const digest = hash64(serialize(vector));
  return digest ? digest : 1;
}

string textOf(TallyTotal total) {
  if (total == 0) return "0";
  bool const isNegative = total < 0;
  string digits;
  for (TallyTotal rest = total; rest != 0; rest /= 10) {
    int const digit = static_cast<int>(rest % 10);
    digits.push_back(static_cast<char>('0' + (isNegative ? -digit : digit)));
  }
  if (isNegative) digits.push_back('-');
  std::reverse(digits.begin(), digits.end());
  return digits;
}

}  // namespace tealshelf

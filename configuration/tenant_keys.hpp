#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The keys of all tenants, stored as keyed digests.
///
/// Only HMAC-SHA-256 digests under a secret of the process are kept, so that a dump of this table reveals no key, and
/// the duration of a look-up reveals nothing about keys similar to the one that was tried.
class TenantKeys {
 public:
  /// Adds a key of a tenant. Returns false and changes nothing if another tenant has the key.
  bool add(string_view key, std::uint32_t tenant);
  /// The tenant that holds a key.
  std::optional<std::uint32_t> find(string_view key) const;
  std::size_t size() const { return tenants_.size(); }

 private:
  using KeyDigest = std::array<std::uint8_t, 32>;
  struct DigestHash {
    std::size_t operator()(KeyDigest const& digest) const;
  };
  static KeyDigest digestOf(string_view key);

  std::unordered_map<KeyDigest, std::uint32_t, DigestHash> tenants_;
};

/// The fingerprints of the keys of each tenant in the text of a configuration; empty if it can't be parsed.
std::map<string, std::set<string>> keyFingerprints(string const& configurationText);

/// A short text that distinguishes a key from others in logs without revealing it.
string keyFingerprint(string_view key);

}  // namespace tealshelf

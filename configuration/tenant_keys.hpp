#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The keys of all tenants, known by a keyed digest.
///
/// Only HMAC-SHA-256 digests under a secret of the process are kept, so that a dump of this table shows no key, and a
/// look-up that takes longer or shorter tells nothing of the keys that are near the one that was tried.
class TenantKeys {
 public:
  /// Adds a key of a tenant. False, and nothing is changed, if another tenant has it.
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

/// The fingerprints of the keys of each tenant that a configuration's text names; empty if it can't be read.
std::map<string, std::set<string>> keyFingerprints(string const& configurationText);

/// A short text by which a key can be told from others in logs; the key can't be found from it.
string keyFingerprint(string_view key);

}  // namespace tealshelf

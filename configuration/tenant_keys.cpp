#include "configuration/tenant_keys.hpp"

#include "configuration/canonical_json.hpp"

#include <nettle/hmac.h>
#include <rapidjson/document.h>
#include <random>

namespace tealshelf {

namespace {
/// A random secret, generated on first use; it never leaves the process.
std::array<std::uint8_t, SHA256_DIGEST_SIZE> const& processSecret() {
  static std::array<std::uint8_t, SHA256_DIGEST_SIZE> const secret = [] {
    std::array<std::uint8_t, SHA256_DIGEST_SIZE> bytes{};
    std::random_device device;
    for (std::uint8_t& byte : bytes) byte = static_cast<std::uint8_t>(device());
    return bytes;
  }();
  return secret;
}

hmac_sha256_ctx keyedContext() {
  hmac_sha256_ctx context;
  hmac_sha256_set_key(&context, processSecret().size(), processSecret().data());
  return context;
}

constexpr std::size_t fingerprintBytes = 4;
}  // namespace

TenantKeys::KeyDigest TenantKeys::digestOf(string_view key) {
  static hmac_sha256_ctx const prepared = keyedContext();
  hmac_sha256_ctx context = prepared;
  hmac_sha256_update(&context, key.size(), reinterpret_cast<std::uint8_t const*>(key.data()));
  KeyDigest digest{};
  hmac_sha256_digest(&context, digest.size(), digest.data());
  return digest;
}

std::size_t TenantKeys::DigestHash::operator()(KeyDigest const& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof hash);
  return hash;
}

bool TenantKeys::add(string_view key, std::uint32_t tenant) {
  auto const [present, added] = tenants_.emplace(digestOf(key), tenant);
  return added || present->second == tenant;
}

std::optional<std::uint32_t> TenantKeys::find(string_view key) const {
  auto const found = tenants_.find(digestOf(key));
  if (found == tenants_.end()) return std::nullopt;
  return found->second;
}

string keyFingerprint(string_view key) {
  string const digest = sha256(key).value;
  string text;
  char buffer[4];
  for (std::size_t i = 0; i < fingerprintBytes; ++i) {
    std::snprintf(buffer, sizeof buffer, "%02x", static_cast<unsigned char>(digest[i]));
    text += buffer;
  }
  return text;
}

std::map<string, std::set<string>> keyFingerprints(string const& configurationText) {
  std::map<string, std::set<string>> fingerprints;
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(configurationText.data(), configurationText.size());
  bool const hasTenants = !document.HasParseError() && document.IsObject() && document.HasMember("customers") &&
                          document["customers"].IsArray();
  if (!hasTenants) return fingerprints;
  for (rapidjson::Value const& tenant : document["customers"].GetArray()) {
    bool const readable = tenant.IsObject() && tenant.HasMember("name") && tenant["name"].IsString() &&
                          tenant.HasMember("apiKeys") && tenant["apiKeys"].IsArray();
    if (!readable) continue;
    std::set<string>& keys = fingerprints[tenant["name"].GetString()];
    for (rapidjson::Value const& key : tenant["apiKeys"].GetArray())
      if (key.IsString()) keys.insert(keyFingerprint(string_view(key.GetString(), key.GetStringLength())));
  }
  return fingerprints;
}

}  // namespace tealshelf

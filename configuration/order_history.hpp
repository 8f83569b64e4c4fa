#pragma once
#include "configuration/canonical_json.hpp"

/// The history of the configurations that were taken, kept by a majority beside the current one.
///
/// An order is known by the version it builds on and the digest of its content. Each order taken is appended to a
/// ring of pages in the same change that makes its configuration current, so that both are on a majority or neither.
/// A page is overwritten once the ring is full; no key is ever deleted, and no tombstone arises.
///
/// A page that a deposed owner was the first to write, and that no majority ever had, may come up in a later epoch
/// without the configuration of the same change. Therefore only orders that lead to the current version count: the
/// newest must bring it, and each must build on the version of the one before.
namespace tealshelf {

/// What makes two orders the same: the version that they build on and the digest of the canonical content.
struct OrderIdentity {
  std::uint64_t base = 0;
  Digest digest;
  bool operator==(OrderIdentity const&) const = default;
};

/// An order that was taken; `number` counts all that ever were, from 0.
struct TakenOrder {
  std::uint64_t number = 0, base = 0, version = 0;
  Digest digest;
  bool operator==(TakenOrder const&) const = default;
  MSGPACK_DEFINE(number, base, version, digest)
};

/// How many orders are kept: `pages` keys of `ordersPerPage` each.
struct HistoryShape {
  std::uint64_t pages = 65, ordersPerPage = 16;
};

/// The orders that are kept, as read from the committed rows of the configuration's keyspace.
class OrderHistory {
 public:
  /// Reads the pages among the rows of a keyspace, as far as they lead to the current version.
  OrderHistory(std::map<string, string> const& rows, std::uint64_t currentVersion, HistoryShape shape = HistoryShape());
  /// The order if it was taken and is still kept, or null.
  TakenOrder const* find(OrderIdentity const& order) const;
  /// True if orders on this base may have been taken and forgotten since.
  bool forgotten(std::uint64_t base) const;
  /// A row to write together with the configuration that an order brings.
  struct Row {
    string key, value;
  };
  Row append(OrderIdentity const& order, std::uint64_t version) const;
  std::map<std::uint64_t, TakenOrder> const& orders() const { return orders_; }

 private:
  std::uint64_t currentVersion_ = 0;
  HistoryShape shape_;
  std::map<std::uint64_t, TakenOrder> orders_;  ///< by number
};

}  // namespace tealshelf

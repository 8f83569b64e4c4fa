#include "configuration/order_history.hpp"

#include "wire/rpc.hpp"

namespace tealshelf {

namespace {
string const pagePrefix = "orders/";
}

OrderHistory::OrderHistory(std::map<string, string> const& rows, std::uint64_t currentVersion, HistoryShape shape)
    : currentVersion_(currentVersion), shape_(shape) {
  std::map<std::uint64_t, TakenOrder> read;
  for (std::map<string, string>::const_iterator row = rows.lower_bound(pagePrefix);
       row != rows.end() && row->first.rfind(pagePrefix, 0) == 0; ++row)
    for (TakenOrder& order : deserialize<vector<TakenOrder>>(row->second))
      read.emplace_hint(read.end(), order.number, std::move(order));
  std::uint64_t expected = currentVersion;
  while (!read.empty()) {
    std::map<std::uint64_t, TakenOrder>::iterator const newest = std::prev(read.end());
    bool const next = orders_.empty() || orders_.begin()->first == newest->first + 1;
    if (newest->second.version == expected && next) {
      expected = newest->second.base;
      orders_.insert(read.extract(newest));
    } else if (orders_.empty()) {
      read.erase(newest);
    } else {
      break;
    }
  }
}

TakenOrder const* OrderHistory::find(OrderIdentity const& order) const {
  for (std::pair<std::uint64_t const, TakenOrder> const& kept : orders_)
    if (kept.second.base == order.base && kept.second.digest == order.digest) return &kept.second;
  return nullptr;
}

bool OrderHistory::forgotten(std::uint64_t base) const {
  std::uint64_t const oldestKnown = orders_.empty() ? currentVersion_ : orders_.begin()->second.base;
  return base < oldestKnown;
}

OrderHistory::Row OrderHistory::append(OrderIdentity const& order, std::uint64_t version) const {
  std::uint64_t const number = orders_.empty() ? 0 : orders_.rbegin()->first + 1;
  std::uint64_t const firstOfPage = number - number % shape_.ordersPerPage;
  vector<TakenOrder> page;
  for (std::map<std::uint64_t, TakenOrder>::const_iterator kept = orders_.lower_bound(firstOfPage);
       kept != orders_.end(); ++kept)
    page.push_back(kept->second);
  page.push_back(TakenOrder{number, order.base, version, order.digest});
  std::uint64_t const slot = number / shape_.ordersPerPage % shape_.pages;
  return Row{pagePrefix + std::to_string(slot), serialize(page)};
}

}  // namespace tealshelf

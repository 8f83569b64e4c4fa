#pragma once
#include "lots/messages.hpp"
#include "updates/fleet_view.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// Reads a lot as a client hands it in; throws a numbered error for whatever is wrong.
vector<ItemRecord> readLot(string const& body);
/// Decodes base64; false if it isn't.
bool unbase64(string_view s, string& out);

/// The lot calls of clients at an edge node; one handler for the resource.
class LotApi {
 public:
  LotApi(asio::io_context& io, Settings const& settings, RpcClient& rpc, FleetView& view)
      : io_(io), settings_(settings), rpc_(rpc), view_(view) {}
  /// True if a call is one of lots by its verb and path.
  bool isLotCall(Configuration const& c, string_view verb, string_view host, string_view path) const;
  Task<HttpReply> call(string verb, string host, string target, std::int64_t holdMs);
  Task<HttpReply> handIn(Route const& m, string id, string const& body);

 private:
  template <class Q>
  Task<typename Q::Reply> coordinator(Q q, Ms limit);
  Task<LotRecord> where(string host, string id, bool anew);
  Task<HttpReply> list(string host, string id, std::uint64_t from, std::int64_t holdMs);
  Task<HttpReply> item(string host, string id, string item);
  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  FleetView& view_;
  std::map<std::pair<string, string>, LotRecord> known_;
};

}  // namespace tealshelf

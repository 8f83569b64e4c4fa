#pragma once
#include "lots/messages.hpp"
#include "updates/fleet_view.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// Who calls about lots.
struct LotCaller {
  string host;    ///< of the route
  string tenant;  ///< "" where the configuration names no tenants
};

/// The lot calls of clients at an edge node.
///
/// Runs on the io thread. Everything passed in must outlive it.
class LotApi {
 public:
  LotApi(Settings const& settings, RpcClient& rpc, FleetView& view) : settings_(settings), rpc_(rpc), view_(view) {}
  /// True if a call is one about lots by its method and path.
  bool isLotRequest(Configuration const& configuration, string_view verb, string_view host, string_view path) const;
  /// Answers a call under /lots/ or /items/. A 503 says that this node can't be sure of the lot. A tenant sees its own
  /// lots only.
  Task<HttpReply> call(LotCaller caller, string verb, string target, Ms hold);
  /// Takes a lot in: opens it, puts it on its holders, and has it accepted. Throws only what promises that no item
  /// runs.
  Task<HttpReply> submit(Route const& route, string tenant, string id, string const& body);

 private:
  /// Asks the control node in use, then others.
  template <class Request>
  Task<typename Request::Reply> askCoordinator(Request request, Ms limit);
  /// Opens a lot, puts it on its holders and has it accepted; tries other holders once.
  Task<void> place(OpenLot request, string items);
  /// The record of a lot, as this node knows it or, if asked for, as its coordinator knows it now.
  Task<LotRecord> findLot(LotKey key, bool anew);
  void cacheLot(LotRecord const& lot);
  Task<HttpReply> endLot(LotKey key);
  Task<std::optional<ReadResultsReply>> readFromHolders(LotRecord lot, std::uint64_t from, TimePoint until);
  Task<HttpReply> listResults(LotKey key, std::uint64_t from, Ms hold);
  Task<HttpReply> readItem(LotKey key, string item);

  Settings const& settings_;
  RpcClient& rpc_;
  FleetView& view_;
  std::map<LotKey, LotRecord> cachedLots_;
};

}  // namespace tealshelf

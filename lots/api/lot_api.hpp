#pragma once
#include "lots/messages.hpp"
#include "updates/fleet_view.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// The origin of a client's request about lots.
struct LotCaller {
  string host;    ///< Host header, which names the route
  string tenant;  ///< "" if the configuration has no tenants
};

/// The lot that a client submits, and the route that it is submitted to.
struct LotSubmission {
  Route const& route;
  std::uint64_t configurationVersion = 0;  ///< of the configuration that has the route
  string tenant;                           ///< "" if the configuration has no tenants
  string id;                               ///< the client's id of the lot
};

/// Serves clients' HTTP requests about lots at an edge node.
///
/// Runs on the io thread. The constructor's arguments must outlive it.
class LotApi {
 public:
  LotApi(Settings const& settings, RpcClient& rpc, FleetView& view) : settings_(settings), rpc_(rpc), view_(view) {}
  /// True if a request is about submitted lots, by its host, method and path.
  bool isLotRequest(Configuration const& configuration, string_view verb, string_view host, string_view path) const;
  /// Answers a request under /lots/ or /items/. Status 503 means that this node can't tell the state of the lot. A
  /// tenant sees only its own lots.
  Task<HttpReply> call(LotCaller caller, string verb, string target, Ms hold);
  /// Submits a lot: opens it at its coordinator, creates its replicas, and has it accepted. Throws only errors after
  /// which no item of the lot runs.
  Task<HttpReply> submit(LotSubmission submission, string const& body);

 private:
  static LotRecord recordOf(LotSubmission const& submission, vector<ItemRecord> const& items);
  /// Calls the control node in use, and others if it fails; each forwards to the lot's coordinator.
  template <class Request>
  Task<typename Request::Reply> askCoordinator(Request request, Ms limit);
  /// Opens a lot, creates its replicas and has it accepted; retries once with another primary.
  Task<void> place(OpenLot request, string items);
  /// The record of a lot: the cached one if there is one and no refresh is asked for, else from its coordinator.
  Task<LotRecord> findLot(LotKey key, bool refresh);
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

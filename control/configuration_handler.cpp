#include "control/configuration_handler.hpp"

#include "lots/coordination/lot_coordinator.hpp"

namespace tealshelf {

namespace {
/// Changes that may queue: operators may have eight in flight, each forwarded by several nodes.
constexpr std::size_t maxWaitingChanges = 32;
/// Keys added or removed by one change that are logged one by one.
constexpr std::size_t maxLoggedKeys = 20;

using KeysByTenant = std::map<string, std::set<string>>;

/// Logs the keys of one configuration that are missing from the other one, by tenant and fingerprint.
void logKeysMissingFrom(KeysByTenant const& one, KeysByTenant const& other, string const& what) {
  std::size_t count = 0;
  for (auto const& [tenant, keys] : one) {
    auto const counterpart = other.find(tenant);
    for (string const& key : keys) {
      if (counterpart != other.end() && counterpart->second.contains(key)) continue;
      if (++count <= maxLoggedKeys) logInfo("configuration", "key " + key + " of tenant " + tenant + what);
    }
  }
  if (count > maxLoggedKeys) logInfo("configuration", std::to_string(count) + " keys in total" + what);
}
}  // namespace

ConfigurationHandler::ConfigurationHandler(asio::io_context& io, Settings const& settings, RpcClient& rpc,
                                           ConsensusDriver& driver, UpdatePublisher& publisher)
    : settings_(settings),
      driver_(driver),
      publisher_(publisher),
      keyspace_(settings, rpc, driver, configurationKeyspace),
      changes_(io, maxWaitingChanges) {}

Task<CallReply> ConfigurationHandler::handle(ForwardedCall call) {
  if (call.verb != "PUT" && call.verb != "GET") throw Error(ErrorCode::methodNotAllowed);
  TimePoint const end = Clock::now() + Ms(call.budgetMs);
  std::optional<CallReply> const forwarded = co_await keyspace_.forward(call);
  if (forwarded) co_return *forwarded;
  if (call.verb == "GET") co_return co_await read(end);
  call.budgetMs = remainingMs(end);
  co_return co_await change(std::move(call), end);
}

Task<CallReply> ConfigurationHandler::read(TimePoint end) {
  co_await keyspace_.confirmOwnership(end);
  Values const& values = keyspace_.values();
  auto const current = values.find(currentConfigurationKey);
  if (current == values.end()) co_return CallReply{404, "{}"};
  co_return CallReply{200, current->second};
}

Task<void> ConfigurationHandler::awaitFirstMembership(TimePoint end) {
  TimePoint const until = startedAt_ + settings_.bounds.inTouch;
  while (!driver_.survivesRequiredLosses() && Clock::now() < until &&
         !keyspace_.values().contains(currentConfigurationKey)) {
    if (Clock::now() >= end)
      throw Error(ErrorCode::notReady, "the control plane has too few members to survive the required losses");
    co_await sleepFor(settings_.bounds.inTouch / 60);
  }
}

Task<CallReply> ConfigurationHandler::change(ForwardedCall call, TimePoint end) {
  AsyncMutex::Lock const turn = co_await changes_.lock(Ms(call.budgetMs / 2));
  co_await awaitFirstMembership(end);
  Epoch const epoch = co_await keyspace_.confirmOwnership(end);
  Values const& values = keyspace_.values();
  if (undecided_.isOpen(epoch.number, values))
    throw Error(ErrorCode::changeUndecided, "the outcome of an earlier change is still unknown");
  ChangeRequest const request{call.ifMatch, std::move(call.body)};
  ChangeDecision const decision = decideChange(values, request);
  if (decision.verdict == ChangeVerdict::apply) {
    co_await apply(decision, epoch);
  } else if (decision.verdict != ChangeVerdict::acknowledgeAgain) {
    Error const refusal(decision.code, decision.detail);
    logInfo("control", string("refused a change of the configuration: ") + refusal.what());
    throw refusal;
  }
  co_return CallReply{200, "{}"};
}

Task<void> ConfigurationHandler::apply(ChangeDecision decision, Epoch epoch) {
  vector<KeyChange> changes;
  for (ChangeHistory::Row const& row : decision.rows) changes.push_back(KeyChange{row.key, row.value, false});
  undecided_.begin(decision.id, epoch.number);
  co_await keyspace_.commit(std::move(changes));
  undecided_.settle();
  driver_.onChange();
}

bool ConfigurationHandler::publishCommitted() {
  std::optional<Values> const values = driver_.consensus().lastKnownValues(configurationKeyspace);
  if (!values) return false;
  auto const current = values->find(currentConfigurationKey);
  if (current == values->end() || current->second == publisher_.configuration()) return false;
  std::shared_ptr<Configuration const> const configuration = compileConfiguration(current->second);
  if (configuration->version <= publisher_.configurationVersion()) return false;
  if (published_ && (published_->needsKeys || configuration->needsKeys)) {
    KeysByTenant const before = keyFingerprints(publisher_.configuration());
    KeysByTenant const now = keyFingerprints(current->second);
    logKeysMissingFrom(before, now, " was removed");
    logKeysMissingFrom(now, before, " was added");
  }
  publisher_.setConfiguration(configuration->version, current->second);
  published_ = configuration;
  std::set<string> lotKeyspaces;
  for (Route const& route : configuration->routes)
    if (route.kind == RouteKind::bulk) lotKeyspaces.insert(LotCoordinator::keyspaceOf(route.host));
  driver_.consensus().keepKeyspaces(LotCoordinator::keyspaceOf(""), lotKeyspaces);
  logInfo("configuration", "configuration version " + std::to_string(configuration->version) + " is active");
  return true;
}

}  // namespace tealshelf

#include "control/control_node.hpp"

#include "base/json_fields.hpp"
#include "control/call_input.hpp"

#include <sstream>

namespace tealshelf {

namespace {
constexpr std::uint64_t maxCallBytes = 16u << 20;
}  // namespace

ControlNode::ControlNode(asio::io_context& io, Settings const& settings)
    : io_(io),
      settings_(settings),
      rpc_(io, settings.bounds.inTouch / 2),
      driver_(io, settings, rpc_),
      lots_(io, settings, rpc_, driver_),
      rpcServer_(io, settings.controlAddress(settings.ip), settings.bounds.inTouch / 2),
      httpServer_(
          io, settings.control, [this](HttpCall call) { return handle(std::move(call)); }, maxCallBytes,
          5 * settings.bounds.inTouch),
      publisher_(io, settings, 0),
      workers_(io, settings, rpc_, driver_, publisher_),
      nodes_(settings, publisher_),
      configuration_(io, settings, rpc_, driver_, publisher_),
      retirements_(settings, rpc_, driver_, lots_),
      rollouts_(io, settings, rpc_, driver_, publisher_, workers_, nodes_),
      evacuations_(io, settings, rpc_, driver_, publisher_),
      tallyStore_(io, settings, rpc_, driver_.consensus().self().id),
      tallies_(settings, rpc_, driver_.consensus(), tallyStore_),
      quotas_(settings.bounds),
      warmUps_(warmUpTiming(settings.bounds)),
      duties_(io, settings, driver_),
      usage_(io, settings, rpc_, driver_, nodes_, duties_),
      capacity_(io, settings, duties_, workers_, evacuations_) {
  publisher_.proof = [this] {
    bool const healthy = driver_.inContactWithMajority() && workers_.isComplete() && !stopping_;
    return UpdatePublisher::Proof{healthy, 0, driver_.consensus().majorityContact(Clock::now())};
  };
  workers_.onChange = [this] { publish(); };
  workers_.evacuationRevision = [this](string const& zone) { return evacuations_.revisionOf(zone); };
  driver_.onHeartbeat = [this](HeartbeatMessage const& message) { onHeartbeat(message); };
  driver_.fillHeartbeat = [this](HeartbeatMessage& message, bool isExtra) {
    workers_.fillHeartbeat(message, isExtra);
    nodes_.fillHeartbeat(message, isExtra);
    rollouts_.fillHeartbeat(message);
    message.tallyDigest = tallyStore_.digest();
    duties_.fillHeartbeat(message);
    UsageCollector::fillHeartbeat(message);
  };
  driver_.onChange = [this] { onControlStateChange(); };
  rollouts_.services = [this]() -> std::optional<std::set<string>> {
    std::shared_ptr<Configuration const> const configuration = configuration_.published();
    if (!configuration) return std::nullopt;
    std::set<string> names;
    for (auto const& [name, service] : configuration->services) names.insert(name);
    return names;
  };
  capacity_.configuration = [this] { return configuration_.published(); };
  capacity_.loads = [this] { return usage_.loads(); };
  capacity_.isRollingOut = [this](string const& service) { return rollouts_.isUnderWay(service); };
  lots_.findTenant = [this](string const& name) -> std::optional<Tenant> {
    std::shared_ptr<Configuration const> const configuration = configuration_.published();
    Tenant const* const tenant = configuration ? configuration->findTenant(name) : nullptr;
    if (!tenant) return std::nullopt;
    return *tenant;
  };
  lots_.retiringStores = [this] { return RetirementHandler::retiringStores(driver_.consensus()); };
  std::size_t const neededCopies = static_cast<std::size_t>(settings.surviveMachines) + 1;
  sampler_ = metrics().sample([this, neededCopies] { metrics_.sample(driver_, lots_, neededCopies); });
}

void ControlNode::start() {
  driver_.start(rpcServer_);
  lots_.start(rpcServer_);
  rollouts_.start();
  tallyStore_.start(rpcServer_);
  duties_.start();
  usage_.start(rpcServer_);
  capacity_.start();
  rpcServer_.on<UpdateRequest>([this](UpdateRequest request) { return publisher_.serve(std::move(request)); });
  rpcServer_.on<CompareRegistry>(
      [this](CompareRegistry request) -> Task<RegistryDifference> { co_return workers_.differenceFor(request); });
  rpcServer_.on<TakeCredit>([this](TakeCredit request) -> Task<TakeCreditReply> {
    TimePoint const now = Clock::now();
    TimePoint const contact = driver_.consensus().majorityContact(now);
    bool const isWarmUp = request.kind == CreditKind::warmUp;
    co_return isWarmUp ? warmUps_.take(request.subject, contact, now) : quotas_.take(request.subject, contact, now);
  });
  rpcServer_.on<ForwardedCall>([this](ForwardedCall call) -> Task<CallReply> {
    if (call.budgetMs <= 0) call.budgetMs = callTimeoutMs();
    co_return co_await route(std::move(call));
  });
  rpcServer_.start();
  httpServer_.start();
  spawnTask(io_, "control sweep", sweepLoop());
  logInfo("control", "control node " + settings_.nodeName + " listens on " + settings_.control.text());
}

void ControlNode::stop() {
  stopping_ = true;
  workers_.stop();
  driver_.leave();
  httpServer_.stop();
}

Task<HttpReply> ControlNode::handle(HttpCall call) {
  ForwardedCall forwarded{call.verb, call.path, call.header("If-Match"), std::move(call.body), 0, callTimeoutMs()};
  bool const isAddition = call.verb == "POST" && call.path.starts_with(tallyPath);
  CallKind const kind = call.verb == "GET" ? CallKind::read : isAddition ? CallKind::addition : CallKind::change;
  HttpReply answer;
  try {
    CallReply const reply = co_await route(std::move(forwarded));
    answer = HttpReply{reply.status, reply.body, "application/json", {}};
  } catch (Error const& error) {
    answer = errorReply(errorForCaller(error, kind));
  }
  if (answer.status == httpStatusOf(ErrorKind::unavailable))
    answer.headers.emplace_back("Retry-After", retryAfterSeconds());
  co_return answer;
}

Task<CallReply> ControlNode::route(ForwardedCall call) {
  if (call.path.starts_with("/servers/")) co_return co_await workers_.handle(std::move(call));
  if (call.path == "/settings") co_return co_await configuration_.handle(std::move(call));
  if (call.path.starts_with("/retire/")) co_return co_await retirements_.handle(std::move(call));
  if (call.path.starts_with("/evacuation/")) co_return co_await evacuations_.handle(std::move(call));
  if (call.path.starts_with(tallyPath)) co_return co_await tallies_.handle(std::move(call));
  bool const isRollout = call.path == "/rollouts" || call.path.starts_with("/rollouts/");
  if (isRollout) co_return co_await rollouts_.handle(std::move(call));
  throw Error(ErrorCode::unknownPath, call.path.substr(0, 40));
}

/// The value of Retry-After, in seconds.
string ControlNode::retryAfterSeconds() const {
  std::ostringstream text;
  text << static_cast<double>(settings_.bounds.confirmWithin.count()) / 16000;
  return text.str();
}

Task<void> ControlNode::sweepLoop() {
  for (;;) {
    co_await sleepFor(settings_.reportEvery / 4);
    if (driver_.inContactWithMajority() && workers_.expire()) publish();
    nodes_.publish();
    if (driver_.inContactWithMajority() && workers_.evaluateOutliers()) publish();
  }
}

/// Merges what another control node reports about workers, data-plane nodes, rollouts, duties and tallies.
void ControlNode::onHeartbeat(HeartbeatMessage const& message) {
  TimePoint const now = Clock::now();
  bool const changed = workers_.receive(message, now);
  nodes_.receive(message, now);
  rollouts_.receive(message);
  duties_.receive(message);
  usage_.receive(message);
  tallyStore_.noteHeartbeat(message.heartbeat.sender.id, message.tallyDigest);
  if (changed) publish();
}

void ControlNode::onControlStateChange() {
  tallyStore_.setMembership(driver_.consensus().membership());
  bool const newConfiguration = configuration_.publishCommitted();
  updateQuotas();
  bool const newRollout = rollouts_.publishCommitted();
  bool const newEvacuation = evacuations_.publishCommitted();
  bool const healthy = publisher_.proof().healthy;
  bool const newMembership = driver_.consensus().membership().number != publishedMembership_;
  if (newConfiguration || newRollout || newEvacuation || newMembership || healthy != wasHealthy_) publish();
  wasHealthy_ = healthy;
}

void ControlNode::updateQuotas() {
  TimePoint const now = Clock::now();
  Consensus const& consensus = driver_.consensus();
  if (consensus.membership().exists()) {
    quotas_.setMembership(consensus.membership(), consensus.self(), now);
    warmUps_.setMembership(consensus.membership(), consensus.self(), now);
  }
  std::shared_ptr<Configuration const> const configuration = configuration_.published();
  if (configuration && configuration != quotaConfiguration_) quotas_.setConfiguration(configuration, now);
  quotaConfiguration_ = configuration;
}

void ControlNode::updateWarmUps() {
  std::shared_ptr<Configuration const> const configuration = configuration_.published();
  if (configuration) warmUps_.setLimits(workers_.warmUpLimits(*configuration), Clock::now());
}

void ControlNode::publish() {
  workers_.publishRows();
  // Before the data plane learns of a worker, so that the first request for credit finds its limit.
  updateWarmUps();
  publishMembers();
  publisher_.notifyAfter(settings_.bounds.inTouch / 80);
}

void ControlNode::publishMembers() {
  Membership const& membership = driver_.consensus().membership();
  publishedMembership_ = membership.number;
  string const prefix(memberRowPrefix);
  std::set<string> currentKeys;
  for (Member const& member : membership.members) {
    string const key = prefix + hex(member.id.value);
    publisher_.common.put(key, serialize(member));
    currentKeys.insert(key);
  }
  vector<string> staleKeys;
  Values const& rows = publisher_.common.rows();
  for (auto row = rows.lower_bound(prefix); row != rows.end() && row->first.starts_with(prefix); ++row)
    if (!currentKeys.contains(row->first)) staleKeys.push_back(row->first);
  for (string const& key : staleKeys) publisher_.common.erase(key);
}

string ControlNode::tenantReport() const {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartArray();
  for (auto const& [name, use] : quotas_.uses(Clock::now())) {
    writer.StartObject();
    writeField(writer, "tenant", name);
    writer.Key("ratePerS");
    writer.Double(use.limit.perSecond);
    writer.Key("burst");
    writer.Double(use.limit.burst);
    writer.Key("tokensLeft");
    writer.Double(use.tokens);
    writeField(writer, "granted", use.granted);
    writeField(writer, "refused", use.refused);
    writer.EndObject();
  }
  writer.EndArray();
  return string(buffer.GetString(), buffer.GetSize());
}

}  // namespace tealshelf

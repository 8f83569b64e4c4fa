#include "wire/overload_manager.hpp"

namespace tealshelf {

namespace {
/// Requests with more bytes than this leave a quarter of the memory to smaller ones.
constexpr std::size_t largeRequestBytes = 128u << 10;

/// Answers up to this size count with their request.
constexpr std::size_t smallAnswerBytes = 16u << 10;

std::size_t threeQuartersOf(std::size_t limit) {
  return limit - limit / 4;
}

/// Order in which connections give way to a new one.
int rankOf(PeerPhase phase) {
  switch (phase) {
    case PeerPhase::silent:
      return 0;
    case PeerPhase::idle:
      return 1;
    case PeerPhase::reading:
      return 2;
    default:
      return 3;
  }
}

MetricLabels labelsOf(PeerKind kind) {
  return {{"kind", string(nameOf(kind))}};
}

void countGivingWay(PeerKind kind) {
  metrics()
      .counter("tealshelf_peers_gave_way_total", "Connections that were refused or closed at a limit of the process.",
               labelsOf(kind))
      .increment();
}
}  // namespace

OverloadManager& overloadManager() {
  static OverloadManager manager;
  return manager;
}

std::size_t* OverloadManager::Group::countOf(PeerPhase phase) {
  switch (phase) {
    case PeerPhase::working:
      return &working;
    case PeerPhase::leaving:
      return &leaving;
    case PeerPhase::closed:
      return &closed;
    default:
      return nullptr;
  }
}

OverloadManager::OverloadManager() : sampler_(metrics().sample([this] { sampleMetrics(); })) {}

void OverloadManager::sampleMetrics() {
  for (PeerKind const kind : {PeerKind::client, PeerKind::probe, PeerKind::node}) {
    metrics()
        .gauge("tealshelf_peer_connections", "Connections that peers opened.", labelsOf(kind))
        .setCount(connections(kind));
    metrics()
        .gauge("tealshelf_peer_bytes", "Bytes of requests and answers that are held for peers.", labelsOf(kind))
        .setCount(bytes(kind));
  }
}

bool OverloadManager::isUnderPressure(PeerKind kind) const {
  Group const& group = groupOf(kind);
  PeerLimit const& limit = limits_.of(kind);
  return group.working > threeQuartersOf(limit.connections) / 2 || group.bytes > limit.bytes / 2;
}

std::unique_ptr<PeerHold> OverloadManager::admit(PeerKind kind) {
  if (makeRoomForConnection(kind)) return std::make_unique<PeerHold>(*this, kind, PeerPhase::silent);
  countGivingWay(kind);
  makeRoomForRefusal(kind);
  Group const& group = groupOf(kind);
  bool const hasRoom = group.leaving < limits_.of(kind).refusals;
  return hasRoom ? std::make_unique<PeerHold>(*this, kind, PeerPhase::leaving) : nullptr;
}

bool OverloadManager::makeRoomForConnection(PeerKind kind) {
  Group const& group = groupOf(kind);
  if (group.served() < limits_.of(kind).connections) return true;
  PeerHold* victim = nullptr;
  for (PeerHold* const hold : group.holds) {
    if (!hold->mayGiveWay()) continue;
    bool const isWorse = !victim || rankOf(hold->phase_) < rankOf(victim->phase_) ||
                         (rankOf(hold->phase_) == rankOf(victim->phase_) && hold->since_ < victim->since_);
    if (isWorse) victim = hold;
  }
  if (!victim) return false;
  victim->giveWay();
  return true;
}

void OverloadManager::makeRoomForRefusal(PeerKind kind) {
  Group const& group = groupOf(kind);
  if (group.leaving < limits_.of(kind).refusals) return;
  PeerHold* oldest = nullptr;
  for (PeerHold* const hold : group.holds)
    if (hold->phase_ == PeerPhase::leaving && hold->onGiveWay && (!oldest || hold->since_ < oldest->since_))
      oldest = hold;
  if (!oldest) return;
  oldest->setPhase(PeerPhase::closed);
  std::exchange(oldest->onGiveWay, nullptr)();
}

bool OverloadManager::makeRoomForBytes(PeerHold& hold, std::size_t bytes) {
  Group const& group = groupOf(hold.kind_);
  std::size_t const limit = limits_.of(hold.kind_).bytes;
  std::size_t const allowed = bytes > largeRequestBytes ? threeQuartersOf(limit) : limit;
  TimePoint const now = Clock::now();
  while (group.bytes - hold.bytes() + bytes > allowed) {
    PeerHold* victim = nullptr;
    double most = 0;
    for (PeerHold* const candidate : group.holds) {
      bool const mayGive = candidate->mayGiveWay() && candidate->bytes() > 0;
      if (!mayGive) continue;
      double const heldFor = std::chrono::duration<double, std::milli>(now - candidate->since_).count() + 1;
      double const cost = heldFor * static_cast<double>(candidate == &hold ? bytes : candidate->bytes());
      if (cost <= most) continue;
      victim = candidate;
      most = cost;
    }
    if (!victim || victim == &hold) return false;
    victim->giveWay();
  }
  return true;
}

PeerHold::PeerHold(OverloadManager& manager, PeerKind kind, PeerPhase phase) : manager_(manager), kind_(kind) {
  manager_.groupOf(kind_).holds.insert(this);
  mustLeave_ = phase == PeerPhase::leaving;
  setPhase(phase);
}

PeerHold::~PeerHold() {
  setPhase(PeerPhase::silent);
  OverloadManager::Group& group = manager_.groupOf(kind_);
  group.bytes -= bytes();
  group.holds.erase(this);
}

void PeerHold::setPhase(PeerPhase phase) {
  OverloadManager::Group& group = manager_.groupOf(kind_);
  if (std::size_t* const count = group.countOf(phase_)) --*count;
  phase_ = phase;
  if (std::size_t* const count = group.countOf(phase_)) ++*count;
}

bool PeerHold::enter(PeerPhase phase) {
  if (mustLeave_) return false;
  if (phase == PeerPhase::leaving) {
    leave();
    return true;
  }
  OverloadManager::Group const& group = manager_.groupOf(kind_);
  bool const begins = phase == PeerPhase::working && phase_ != PeerPhase::working;
  if (begins && group.working >= threeQuartersOf(manager_.limits_.of(kind_).connections)) {
    countGivingWay(kind_);
    return false;
  }
  setPhase(phase);
  since_ = Clock::now();
  return true;
}

bool PeerHold::holdForWork(std::size_t estimate) {
  return hold(HeldPart::request, std::min(estimate, manager_.limits_.of(kind_).bytes / 2));
}

bool PeerHold::hold(HeldPart part, std::size_t bytes) {
  if (mustLeave_) return false;
  if (part == HeldPart::answer && bytes <= smallAnswerBytes) bytes = 0;
  std::size_t& held = parts_[static_cast<std::size_t>(part)];
  bool const fits = bytes <= held || manager_.makeRoomForBytes(*this, this->bytes() - held + bytes);
  if (!fits) {
    countGivingWay(kind_);
    return false;
  }
  OverloadManager::Group& group = manager_.groupOf(kind_);
  group.bytes = group.bytes - held + bytes;
  held = bytes;
  return true;
}

void PeerHold::leave() {
  manager_.makeRoomForRefusal(kind_);
  mustLeave_ = true;
  setPhase(PeerPhase::leaving);
  since_ = Clock::now();
  manager_.groupOf(kind_).bytes -= bytes();
  parts_ = {};
}

void PeerHold::giveWay() {
  countGivingWay(kind_);
  leave();
  if (onGiveWay) std::exchange(onGiveWay, nullptr)();
}

}  // namespace tealshelf

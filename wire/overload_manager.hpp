#pragma once
#include "base/metrics.hpp"
#include "wire/peer_limits.hpp"

namespace tealshelf {

class PeerHold;

/// What a connection is doing; determines whether it gives way to others.
enum class PeerPhase : std::uint8_t {
  silent,   ///< accepted; nothing has arrived yet
  idle,     ///< between requests
  reading,  ///< a request is arriving
  working,  ///< a whole request is under way; never gives way
  writing,  ///< an answer is being sent
  leaving,  ///< refused; what it still sends is discarded
  closed    ///< its socket is closed
};

/// Owns what this process holds for its peers: connections and the bytes of their requests and answers.
///
/// The peers of each kind stay below the limits of that kind. When a kind is at its limit, a connection gives way:
/// - for a new connection: the silent one, else the idle, reading or writing one, that has been so for the longest
/// time;
/// - for bytes: the connection that has read or written with the most bytes for the longest time (bytes x time). This
///   may be the one that asks.
/// Requests under way don't give way; they may take up three quarters of the connections, and large requests three
/// quarters of the bytes, so that there is room for the others.
///
/// Runs on the io thread.
class OverloadManager {
 public:
  OverloadManager();
  void setLimits(PeerLimits const& limits) { limits_ = limits; }
  PeerLimits const& limits() const { return limits_; }

  /// A new connection. If there is no room for it, its phase is `leaving`: it is to be refused. Null if there is no
  /// room for a refusal either: it is to be closed.
  std::unique_ptr<PeerHold> admit(PeerKind kind);

  /// True if half of what requests under way may take is taken: connections are to be closed after their answer then,
  /// so that a client's next request stands in line with those of others.
  bool isUnderPressure(PeerKind kind) const;

  /// Connections to workers, opened by this process.
  bool hasRoomForWorkerConnection() const { return workerConnections_ < limits_.workerConnections; }
  void noteWorkerConnection(bool opened) { opened ? ++workerConnections_ : --workerConnections_; }

  std::size_t connections(PeerKind kind) const { return groupOf(kind).holds.size(); }
  std::size_t bytes(PeerKind kind) const { return groupOf(kind).bytes; }

 private:
  friend class PeerHold;
  struct Group {
    std::set<PeerHold*> holds;
    std::size_t leaving = 0, closed = 0, working = 0, bytes = 0;
    /// Connections that are served.
    std::size_t served() const { return holds.size() - leaving - closed; }
    /// The count of connections in a phase; null if they aren't counted.
    std::size_t* countOf(PeerPhase phase);
  };
  Group& groupOf(PeerKind kind) { return groups_[static_cast<std::size_t>(kind)]; }
  Group const& groupOf(PeerKind kind) const { return groups_[static_cast<std::size_t>(kind)]; }
  /// Makes room for a connection; false if none gives way.
  bool makeRoomForConnection(PeerKind kind);
  /// Makes room for a refusal.
  void makeRoomForRefusal(PeerKind kind);
  /// Makes room for a connection to hold so many bytes; false if it is the one that has to give way.
  bool makeRoomForBytes(PeerHold& hold, std::size_t bytes);
  void sampleMetrics();

  PeerLimits limits_;
  std::array<Group, peerKinds> groups_;
  std::size_t workerConnections_ = 0;
  SamplerRegistration sampler_;
};

/// The owner of this process.
OverloadManager& overloadManager();

/// The part of a connection's memory that `PeerHold::hold` sets.
enum class HeldPart : std::uint8_t { request, answer };

/// What one connection holds; destroyed together with the connection.
class PeerHold {
 public:
  PeerHold(OverloadManager& manager, PeerKind kind, PeerPhase phase);
  ~PeerHold();
  PeerHold(PeerHold const&) = delete;
  PeerHold& operator=(PeerHold const&) = delete;

  /// Enters a phase. False if there is no room for another request under way; the request is to be refused then.
  bool enter(PeerPhase phase);
  /// Sets the bytes held. False if there is no room: the connection is to free them and to refuse its request. A small
  /// answer always finds room.
  [[nodiscard]] bool hold(HeldPart part, std::size_t bytes);
  /// Sets the bytes of a request under way by an estimate. It counts for at most half of the limit, so that a request
  /// alone always finds room.
  [[nodiscard]] bool holdForWork(std::size_t estimate);
  /// OverloadManager::isUnderPressure for peers of this kind.
  bool isUnderPressure() const { return manager_.isUnderPressure(kind_); }
  /// True once the connection has to give way, or was refused from the start: it is to be refused and closed.
  bool mustLeave() const { return mustLeave_; }
  /// Called when the connection gives way: must free what it holds and end what it waits for.
  std::function<void()> onGiveWay;

 private:
  friend class OverloadManager;
  /// Gives way to others.
  void giveWay();
  /// Enters the phase `leaving` and counts as holding nothing.
  void leave();
  void setPhase(PeerPhase phase);
  std::size_t bytes() const { return parts_[0] + parts_[1]; }
  bool mayGiveWay() const { return !mustLeave_ && phase_ != PeerPhase::working; }

  OverloadManager& manager_;
  PeerKind kind_;
  PeerPhase phase_ = PeerPhase::silent;
  TimePoint since_ = Clock::now();
  std::array<std::size_t, 2> parts_{};
  bool mustLeave_ = false;
};

}  // namespace tealshelf

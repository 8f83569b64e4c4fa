// Measures bytes and processor time of heartbeats, takeover and catch-up over the number of keys and of
// changes missed: three members in one process, every message packed and unpacked, no disk and no network.
#include "consensus/consensus.hpp"

#include <cstdio>
#include <ctime>

using namespace tealshelf;

namespace {
/// The number of a kind of message.
template <class Body>
std::size_t kindOf() {
  return MessageBody(Body()).index();
}

double processorMs() {
  timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}

/// Three members; one may be cut off.
class Trio {
 public:
  Trio() {
    Membership g;
    g.number = MembershipNumber(1);
    for (std::uint64_t i = 0; i < 3; ++i) g.members.push_back(Member{NodeId(i + 1), "n", "10.0.0.1", "z", true, true});
    g.formerMembers = g.members;
    for (std::uint64_t i = 0; i < 3; ++i) {
      nodes_.push_back(
          std::make_unique<Consensus>(g.members[i], Consensus::Timeouts{Ms(750), Ms(100), Ms(1500), Ms(600)}, i + 1));
      nodes_[i]->addKeyspace("x");
      nodes_[i]->installMembership(g, true);
    }
  }
  Consensus& node(std::size_t i) { return *nodes_[i]; }
  std::size_t owner() {
    for (std::size_t i = 0; i < 3; ++i)
      if (i != away && nodes_[i]->owns("x")) return i;
    return 3;
  }
  /// A heartbeat period: heartbeats, ticks and all that follows from them.
  void period() {
    now_ += Ms(150);
    for (std::size_t i = 0; i < 3; ++i)
      for (std::size_t j = 0; j < 3; ++j)
        if (i != j && i != away && j != away) nodes_[j]->receiveHeartbeat(nodes_[i]->heartbeat(now_), now_);
    for (std::size_t i = 0; i < 3; ++i)
      if (i != away) nodes_[i]->tick(now_);
    deliver();
  }
  void change(std::size_t keys, std::size_t from, char fill) {
    vector<KeyChange> cs;
    for (std::size_t k = 0; k < keys; ++k) cs.push_back({"key/" + std::to_string(from + k), string(200, fill), false});
    nodes_[owner()]->propose("x", cs, now_);
    deliver();
  }
  std::size_t heartbeatBytes(std::size_t i) {
    msgpack::sbuffer b;
    msgpack::pack(b, nodes_[i]->heartbeat(now_));
    return b.size();
  }
  std::size_t away = 3;
  std::map<std::size_t, std::size_t> bytes, count;

 private:
  void deliver() {
    for (bool any = true; any;) {
      any = false;
      for (std::size_t i = 0; i < 3; ++i)
        for (Message const& m : nodes_[i]->takeOutput().messages) {
          std::size_t const to = m.to.value - 1;
          if (to == away || i == away) continue;
          any = true;
          msgpack::sbuffer b;
          msgpack::pack(b, m);
          if (to != i) {
            bytes[m.body.index()] += b.size();
            ++count[m.body.index()];
          }
          nodes_[to]->receive(msgpack::unpack(b.data(), b.size()).get().as<Message>(), now_);
        }
    }
  }
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  vector<std::unique_ptr<Consensus>> nodes_;
};

void measure(std::size_t keys, std::size_t missed) {
  Trio t;
  while (t.owner() == 3) t.period();
  for (std::size_t k = 0; k < keys; k += 1000) t.change(1000, k, 'a');
  for (int i = 0; i < 8; ++i) t.period();
  std::size_t const owner = t.owner(), behind = (owner + 1) % 3;
  std::size_t const heartbeat = t.heartbeatBytes(owner);
  t.away = behind;
  for (std::size_t k = 0; k < missed; ++k) {
    t.change(1, k * 7 % keys, 'b');
    if (k % 20 == 0) t.period();
  }
  for (int i = 0; i < 8; ++i) t.period();
  t.away = 3;
  t.bytes.clear();
  t.count.clear();
  double begun = processorMs();
  int periods = 0;
  std::size_t changes = 0;
  while (t.node(behind).lastKnownValues("x") != t.node(t.owner()).lastKnownValues("x") && periods < 100) {
    t.change(1, ++changes % keys, 'c');
    t.period();
    ++periods;
  }
  double const caughtUp = processorMs() - begun;
  std::size_t const pieceBytes = t.bytes[kindOf<TransferChunk>()], pieces = t.count[kindOf<TransferChunk>()];
  for (int i = 0; i < 8; ++i) t.period();
  std::size_t const old = t.owner();
  t.away = old;
  t.bytes.clear();
  t.count.clear();
  begun = processorMs();
  while (t.owner() == 3) t.period();
  double const taken = processorMs() - begun;
  std::printf("| %zu | %zu | %zu | %zu | %zu | %.1f | %zu | %zu | %d | %.1f |\n", keys, missed, heartbeat,
              t.bytes[kindOf<VoteReply>()], t.bytes[kindOf<AppendRequest>()], taken, pieces, pieceBytes, periods,
              caughtUp);
}
}  // namespace

int main() {
  std::printf("keys, changes missed, heartbeat B, vote B, takeover B, takeover ms, pieces, their B, periods, ms\n");
  for (std::size_t const keys : {1000, 10000, 100000})
    for (std::size_t const missed : {10, 100, 1000, 10000}) measure(keys, missed);
}

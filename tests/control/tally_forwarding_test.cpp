// Calls at nodes that can't answer from their own table, between nodes with real connections.
#include "control/tally_handler.hpp"
#include "tests/wire/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
/// CallReply and ForwardedCall of the releases before reads stated what they require.
struct OlderCallReply {
  int status = 200;
  string body;
  MSGPACK_DEFINE(status, body)
};
struct OlderForwardedCall {
  using Reply = OlderCallReply;
  static constexpr RpcMethod method = RpcMethod::forwardCall;
  string verb, path, ifMatch, body;
  int hops = 0;
  std::int64_t budgetMs = 0;
  MSGPACK_DEFINE(verb, path, ifMatch, body, hops, budgetMs)
};

constexpr Ms testLimit{20000};
constexpr std::size_t memberCount = 3;

Settings settingsOf(std::size_t node, Ms inTouch) {
  string const own = loopbackOfThisProcess();
  Settings settings;
  settings.nodeName = "n-" + std::to_string(node);
  settings.ip = "127." + std::to_string(2 + node) + own.substr(own.find('.', own.find('.') + 1));
  settings.zone = "z";
  settings.zones["z"] = "r";
  settings.firstInternalPort = 17760;
  settings.surviveMachines = 1;
  settings.bounds.inTouch = inTouch;
  return settings;
}

Membership membershipOf(std::size_t first, std::size_t last, Ms inTouch, std::uint64_t number) {
  Membership membership;
  membership.number = MembershipNumber(number);
  for (std::size_t node = first; node <= last; ++node) {
    Settings const settings = settingsOf(node, inTouch);
    membership.members.push_back(
        Member{NodeId(node + 1), settings.nodeName, settings.ip, settings.zone, true, true, 0});
  }
  membership.formerMembers = membership.members;
  return membership;
}

/// The part of a control node that handles tallies, in memory.
struct TallyNode {
  TallyNode(std::size_t index, Ms inTouch, bool isOlder)
      : settings(settingsOf(index, inTouch)),
        rpc(io, inTouch),
        consensus(Member{NodeId(index + 1), settings.nodeName, settings.ip, settings.zone, true, true, 0}, {},
                  index + 1),
        store(io, settings, rpc, NodeId(index + 1)),
        handler(settings, rpc, consensus, store),
        server(io, settings.controlAddress(settings.ip), inTouch) {
    store.start(server);
    server.on<ForwardedCall>([this](ForwardedCall call) { return handler.handle(std::move(call)); });
    if (isOlder)
      server.on<OlderForwardedCall>([this](OlderForwardedCall call) { return handleAsOlder(std::move(call)); });
    server.start();
  }
  Task<OlderCallReply> handleAsOlder(OlderForwardedCall call) {
    ForwardedCall current{call.verb, call.path, "", call.body, call.hops, call.budgetMs, {}};
    CallReply const reply = co_await handler.handle(std::move(current));
    co_return OlderCallReply{reply.status, reply.body};
  }
  void install(Membership const& membership) {
    consensus.installMembership(membership, false);
    store.setMembership(membership);
  }

  asio::io_context io{1};
  Settings settings;
  RpcClient rpc;
  Consensus consensus;
  TallyStore store;
  TallyHandler handler;
  RpcServer server;
  bool frozen = false;
};

/// Three members and a node without a disk, the last one.
class TallyNodes {
 public:
  static constexpr std::size_t withoutDisk = memberCount;

  explicit TallyNodes(Ms inTouch, bool membersAreOlder = false) : inTouch_(inTouch) {
    for (std::size_t node = 0; node <= withoutDisk; ++node)
      nodes_.push_back(std::make_unique<TallyNode>(node, inTouch, membersAreOlder && node != withoutDisk));
    for (std::unique_ptr<TallyNode> const& node : nodes_) node->install(membershipOf(0, memberCount - 1, inTouch, 1));
  }
  void kill(std::size_t node) { nodes_[node].reset(); }
  void freeze(std::size_t node) { nodes_[node]->frozen = true; }
  void thaw(std::size_t node) { nodes_[node]->frozen = false; }
  /// Lets a node know that it was removed from the membership.
  void installWithoutLast() {
    Membership membership = membershipOf(0, memberCount - 2, inTouch_, 2);
    membership.formerMembers = membershipOf(0, memberCount - 1, inTouch_, 1).members;
    for (std::unique_ptr<TallyNode> const& node : nodes_) node->install(membership);
  }

  /// The body of the answer, or the code of the error.
  string call(std::size_t node, string const& verb, string const& path, string const& body = "") {
    std::int64_t const budgetMs = (inTouch_ / 2).count();
    return callFor(node, ForwardedCall{verb, path, "", body, 0, budgetMs, {}});
  }
  /// Repeats a call until it succeeds, and returns the body of that answer.
  string callUntilAnswered(std::size_t node, string const& verb, string const& path, string const& body = "") {
    TimePoint const end = Clock::now() + testLimit;
    string answer = "E";
    while (answer.starts_with("E") && Clock::now() < end) answer = call(node, verb, path, body);
    return answer;
  }
  /// Calls a node as a node of an older release does.
  string callAsOlder(std::size_t from, std::size_t to, OlderForwardedCall const& call) {
    string answer;
    TallyNode& caller = *nodes_[from];
    asio::co_spawn(caller.io, caller.rpc.call(addressOf(to), call, testLimit),
                   [&answer](std::exception_ptr failure, OlderCallReply reply) {
                     answer = failure ? textOf(failure) : reply.body;
                   });
    runUntil([&answer] { return !answer.empty(); });
    return answer;
  }

 private:
  Address addressOf(std::size_t node) const {
    Settings const settings = settingsOf(node, inTouch_);
    return settings.controlAddress(settings.ip);
  }
  static string textOf(std::exception_ptr const& failure) {
    try {
      std::rethrow_exception(failure);
    } catch (Error const& error) {
      return "E" + std::to_string(static_cast<int>(error.code()));
    }
  }
  string callFor(std::size_t node, ForwardedCall call) {
    string answer;
    asio::co_spawn(
        nodes_[node]->io, nodes_[node]->handler.handle(std::move(call)),
        [&answer](std::exception_ptr failure, CallReply reply) { answer = failure ? textOf(failure) : reply.body; });
    runUntil([&answer] { return !answer.empty(); });
    return answer;
  }
  void runUntil(std::function<bool()> const& done) {
    TimePoint const end = Clock::now() + testLimit;
    while (!done() && Clock::now() < end) {
      for (std::unique_ptr<TallyNode> const& node : nodes_)
        if (node && !node->frozen) node->io.poll();
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
  }

  Ms inTouch_;
  vector<std::unique_ptr<TallyNode>> nodes_;
};

string const addition = R"({"serverId":"5c0e7a21d94b36f8","changedBy":4})";

/// Adds to another tally and then to `t`. The push with the first addition reaches a frozen member's connection, and
/// the member once it is thawed; the second addition waits for the answer.
void addWhileMembersAreFrozen(TallyNodes& nodes, std::size_t node) {
  STRCMP_EQUAL("{}", nodes.callUntilAnswered(node, "POST", "/tallies/earlier", addition).c_str());
  STRCMP_EQUAL("{}", nodes.callUntilAnswered(node, "POST", "/tallies/t", addition).c_str());
}

/// One member is frozen while the first one counts an addition for the node without a disk, and is the first to be
/// asked once that one is gone.
void loseTheCountingMemberWhileAnotherLags(TallyNodes& nodes) {
  STRCMP_EQUAL("{\"total\":0}", nodes.callUntilAnswered(TallyNodes::withoutDisk, "GET", "/tallies/t").c_str());
  nodes.freeze(1);
  addWhileMembersAreFrozen(nodes, TallyNodes::withoutDisk);
  nodes.kill(0);
  nodes.thaw(1);
}
}  // namespace

TEST_GROUP(tallyForwarding){};

/// Guards against reads at a node without a disk that lack what the same node acknowledged (review/7).
TEST(tallyForwarding, aReadIncludesWhatTheNodeAcknowledged) {
  TallyNodes nodes(Ms(8000));
  loseTheCountingMemberWhileAnotherLags(nodes);
  STRCMP_EQUAL("{\"total\":4}", nodes.callUntilAnswered(TallyNodes::withoutDisk, "GET", "/tallies/t").c_str());
}
/// Guards against reads at a node that was removed while it was cut off, which lack what it acknowledged (review/6).
TEST(tallyForwarding, aRemovedNodeReadsWhatItAcknowledged) {
  TallyNodes nodes(Ms(800));
  STRCMP_EQUAL("{\"total\":0}", nodes.callUntilAnswered(2, "GET", "/tallies/t").c_str());
  nodes.freeze(0);
  nodes.freeze(1);
  addWhileMembersAreFrozen(nodes, 2);
  nodes.installWithoutLast();
  nodes.thaw(0);
  nodes.thaw(1);
  STRCMP_EQUAL("{\"total\":4}", nodes.callUntilAnswered(2, "GET", "/tallies/t").c_str());
}
/// Guards against reads that members of the release before can't answer, or answer without what was acknowledged.
TEST(tallyForwarding, membersOfAnOlderReleaseAreAskedWhatTheyHave) {
  TallyNodes nodes(Ms(8000), true);
  loseTheCountingMemberWhileAnotherLags(nodes);
  STRCMP_EQUAL("{\"total\":4}", nodes.callUntilAnswered(TallyNodes::withoutDisk, "GET", "/tallies/t").c_str());
}
TEST(tallyForwarding, aNodeOfAnOlderReleaseIsAnswered) {
  TallyNodes nodes(Ms(8000));
  STRCMP_EQUAL("{}", nodes.callUntilAnswered(0, "POST", "/tallies/t", addition).c_str());
  STRCMP_EQUAL("{}",
               nodes.callAsOlder(TallyNodes::withoutDisk, 0, {"POST", "/tallies/t", "", addition, 1, 800}).c_str());
  STRCMP_EQUAL("{\"total\":4}",
               nodes.callAsOlder(TallyNodes::withoutDisk, 0, {"GET", "/tallies/t", "", "", 1, 800}).c_str());
}

#include "consensus/keyspace_survey.hpp"
#include "tests/wire/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string const heldKeyspace = "lots/held.example", emptyKeyspace = "lots/unknown.example";

/// A survey at the first of three members. The two others are fakes, each with an address of its own.
struct SurveyRig {
  struct Peer {
    std::unique_ptr<RpcServer> server;
    std::optional<ErrorCode> failure;
    vector<string> held;
    std::size_t calls = 0;
  };

  SurveyRig() {
    Membership first;
    first.number = MembershipNumber(1);
    for (std::size_t i = 0; i < memberCount; ++i)
      first.members.push_back(Member{NodeId(100 + i), "n-" + std::to_string(i), ipOf(i), "z", true, true});
    first.formerMembers = first.members;
    consensus.installMembership(first, true);
    for (std::size_t i = 1; i < memberCount; ++i) startPeer(i);
  }
  static string ipOf(std::size_t member) {
    string const own = loopbackOfThisProcess();
    return "127." + std::to_string(20 + member) + own.substr(own.find('.', own.find('.') + 1));
  }
  static Settings makeSettings() {
    Settings settings;
    settings.nodeName = "n-0";
    settings.ip = ipOf(0);
    settings.firstInternalPort = 17710;
    settings.control = {ipOf(0), 17718};
    settings.bounds.settleWithin = Ms(800);
    return settings;
  }
  void startPeer(std::size_t member) {
    peers[member].server = std::make_unique<RpcServer>(io, settings.controlAddress(ipOf(member)), Ms(1000));
    peers[member].server->on<FindHeldKeyspaces>([this, member](FindHeldKeyspaces request) -> Task<HeldKeyspacesReply> {
      Peer& peer = peers[member];
      ++peer.calls;
      lastAsked = request.keyspaces;
      if (peer.failure) throw Error(*peer.failure);
      co_return HeldKeyspacesReply{NodeId(100 + member), peer.held};
    });
    peers[member].server->start();
  }
  /// 1 if the keyspace is held, 0 if not, else minus the error's code.
  std::shared_ptr<int> startQuestion(string const& keyspace) {
    std::shared_ptr<int> const result = std::make_shared<int>(unanswered);
    asio::co_spawn(io, survey.isHeld(keyspace), [result](std::exception_ptr failure, bool isHeld) {
      *result = isHeld ? 1 : 0;
      try {
        if (failure) std::rethrow_exception(failure);
      } catch (Error const& error) {
        *result = -static_cast<int>(error.code());
      }
    });
    return result;
  }
  int ask(string const& keyspace) {
    std::shared_ptr<int> const result = startQuestion(keyspace);
    finish(result);
    return *result;
  }
  void finish(std::shared_ptr<int> const& result) {
    TimePoint const end = Clock::now() + Ms(5000);
    while (*result == unanswered && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(5));
    }
  }

  static constexpr std::size_t memberCount = 3;
  static constexpr int unanswered = 99999, noQuorum = -static_cast<int>(ErrorCode::noQuorum);
  asio::io_context io{1};
  Settings settings = makeSettings();
  RpcClient rpc{io, Ms(1000)};
  Consensus consensus{Member{NodeId(100), "n-0", ipOf(0), "z", true, true},
                      Consensus::Timeouts{Ms(750), Ms(100), Ms(1500), Ms(600), Ms(2000)}, 1};
  std::map<std::size_t, Peer> peers;
  vector<string> lastAsked;
  KeyspaceSurvey survey{io, settings, rpc, consensus};
};
}  // namespace

/// A node that doesn't have a keyspace learns from a majority whether it holds entries, and doesn't create it.
TEST_GROUP(keyspaceSurvey){};

TEST(keyspaceSurvey, aKeyspaceThatNoMajorityHoldsIsUnknown) {
  SurveyRig rig;
  LONGS_EQUAL(0, rig.ask(emptyKeyspace));
  CHECK(rig.consensus.keyspaces().empty());
}
// Guards against accepted lots that count as unknown, as only some members have stored their records.
TEST(keyspaceSurvey, aKeyspaceThatOneMemberOfTheMajorityHoldsIsFound) {
  SurveyRig rig;
  for (std::size_t const holder : {1u, 2u}) {
    rig.peers[holder].held = {heldKeyspace};
    rig.peers[3 - holder].held.clear();
    rig.peers[3 - holder].failure = ErrorCode::notReady;
    rig.peers[holder].failure.reset();
    LONGS_EQUAL(1, rig.ask(heldKeyspace));
    LONGS_EQUAL(0, rig.ask(emptyKeyspace));
  }
}
// Guards against accepted lots that count as unknown while a minority answers, or members of another membership.
TEST(keyspaceSurvey, withoutAMajorityNothingIsKnown) {
  SurveyRig rig;
  rig.peers[1].failure = ErrorCode::notMember;
  rig.peers[2].failure = ErrorCode::notReady;
  LONGS_EQUAL(SurveyRig::noQuorum, rig.ask(emptyKeyspace));
  rig.peers[1].failure.reset();
  LONGS_EQUAL(0, rig.ask(emptyKeyspace));
}
// Guards against a wiped member whose own empty disk counts as an answer.
TEST(keyspaceSurvey, aNodeWithoutAVoteDoesNotCount) {
  SurveyRig rig;
  rig.consensus.giveUpVote(7);
  rig.peers[1].failure = ErrorCode::notReady;
  LONGS_EQUAL(SurveyRig::noQuorum, rig.ask(emptyKeyspace));
}
// Guards against a number of calls between control nodes that grows with that of clients' questions.
TEST(keyspaceSurvey, questionsShareTheirCalls) {
  SurveyRig rig;
  vector<std::shared_ptr<int>> results;
  for (int i = 0; i < 200; ++i) results.push_back(rig.startQuestion(emptyKeyspace + std::to_string(i)));
  for (std::shared_ptr<int> const& result : results) rig.finish(result);
  for (std::shared_ptr<int> const& result : results) LONGS_EQUAL(0, *result);
  CHECK(rig.peers[1].calls <= 3);
  CHECK(rig.lastAsked.size() > 100);
}

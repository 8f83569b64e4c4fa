#pragma once
#include "consensus/control_messages.hpp"

namespace tealshelf {

/// Finds out whether a keyspace that this node doesn't have holds entries elsewhere, without creating it.
///
/// Each committed write is stored by a majority of the members, so a keyspace of which a majority stores no entries has
/// none. Questions that arrive while one round of calls is under way share the next round, so their number doesn't
/// determine that of the calls.
///
/// Runs on the io thread. The constructor's arguments must outlive it.
class KeyspaceSurvey {
 public:
  KeyspaceSurvey(asio::io_context& io, Settings const& settings, RpcClient& rpc, Consensus const& consensus)
      : io_(io), settings_(settings), rpc_(rpc), consensus_(consensus) {}
  void start(RpcServer& server);
  /// False if a majority of the members stores no entries of the keyspace, true if one of the members that answered
  /// does. Throws ErrorCode::noQuorum if too few members answered, ErrorCode::busy if too many questions wait.
  Task<bool> isHeld(string keyspace);

 private:
  struct Question {
    Question(asio::io_context& io, string name) : keyspace(std::move(name)), timer(io) {}
    string keyspace;
    asio::steady_timer timer;
    bool hasEnded = false;
    std::optional<bool> isHeld;  ///< nothing if too few members answered
  };
  /// What the members that answered said.
  struct Answers {
    std::set<NodeId> answered;
    std::set<string> held;
    void add(HeldKeyspacesReply const& reply);
  };
  /// One round of calls. May outlive the survey, in a call that ends later.
  struct Round {
    Round(asio::io_context& io, std::size_t majority) : timer(io, TimePoint::max()), quorum(majority) {}
    bool isDecided() const { return outstanding == 0 || answers.answered.size() >= quorum; }
    asio::steady_timer timer;
    std::size_t quorum, outstanding = 0;
    Answers answers;
  };

  HeldKeyspacesReply reply(FindHeldKeyspaces const& request) const;
  Task<void> runRounds();
  vector<std::shared_ptr<Question>> takeQuestions();
  /// Asks all members, this node included; nothing if less than a majority answers.
  Task<std::optional<Answers>> ask(vector<string> keyspaces);
  void call(Member const& member, FindHeldKeyspaces const& request, std::shared_ptr<Round> round);

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  Consensus const& consensus_;
  bool isRunning_ = false;
  std::deque<std::shared_ptr<Question>> waiting_;
};

}  // namespace tealshelf

#include "consensus/keyspace_survey.hpp"

#include "wire/tasks.hpp"

namespace tealshelf {

namespace {
/// Limits of the keyspaces asked about in one round, and of the questions that wait for a round.
constexpr std::size_t maxQuestionsPerRound = 256, maxWaitingQuestions = 1024;
/// Parts of settleWithin, in which a lot's reader learns its state: the limit of a round, and that of a question.
constexpr int roundDivisor = 8, questionDivisor = 2;
}  // namespace

void KeyspaceSurvey::start(RpcServer& server) {
  server.on<FindHeldKeyspaces>(
      [this](FindHeldKeyspaces request) -> Task<HeldKeyspacesReply> { co_return reply(request); });
}

HeldKeyspacesReply KeyspaceSurvey::reply(FindHeldKeyspaces const& request) const {
  bool const isVoter = consensus_.isMember() && consensus_.holdsAllKeys();
  if (!isVoter || request.membership != consensus_.membership().number) throw Error(ErrorCode::notMember);
  HeldKeyspacesReply answer;
  answer.from = consensus_.self().id;
  for (string const& keyspace : request.keyspaces)
    if (consensus_.storesEntriesOf(keyspace)) answer.held.push_back(keyspace);
  return answer;
}

Task<bool> KeyspaceSurvey::isHeld(string keyspace) {
  if (waiting_.size() >= maxWaitingQuestions) throw Error(ErrorCode::busy, "too many questions about keyspaces wait");
  std::shared_ptr<Question> const question = std::make_shared<Question>(io_, std::move(keyspace));
  question->timer.expires_after(settings_.bounds.settleWithin / questionDivisor);
  waiting_.push_back(question);
  if (!isRunning_) spawnTask(io_, "keyspace survey", runRounds());
  error_code ignored;
  if (!question->hasEnded) co_await question->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  std::erase(waiting_, question);
  if (!question->isHeld) throw Error(ErrorCode::noQuorum, "too few members told which keyspaces they hold");
  co_return *question->isHeld;
}

vector<std::shared_ptr<KeyspaceSurvey::Question>> KeyspaceSurvey::takeQuestions() {
  std::size_t const count = std::min(waiting_.size(), maxQuestionsPerRound);
  auto const end = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
  vector<std::shared_ptr<Question>> questions(waiting_.begin(), end);
  waiting_.erase(waiting_.begin(), end);
  return questions;
}

Task<void> KeyspaceSurvey::runRounds() {
  isRunning_ = true;
  while (!waiting_.empty()) {
    vector<std::shared_ptr<Question>> const questions = takeQuestions();
    std::set<string> names;
    for (std::shared_ptr<Question> const& question : questions) names.insert(question->keyspace);
    std::optional<Answers> const answers = co_await ask(vector<string>(names.begin(), names.end()));
    for (std::shared_ptr<Question> const& question : questions) {
      if (answers) question->isHeld = answers->held.contains(question->keyspace);
      question->hasEnded = true;
      question->timer.cancel();
    }
  }
  isRunning_ = false;
}

void KeyspaceSurvey::Answers::add(HeldKeyspacesReply const& reply) {
  answered.insert(reply.from);
  held.insert(reply.held.begin(), reply.held.end());
}

Task<std::optional<KeyspaceSurvey::Answers>> KeyspaceSurvey::ask(vector<string> keyspaces) {
  Membership const membership = consensus_.membership();
  std::shared_ptr<Round> const round = std::make_shared<Round>(io_, membership.quorum());
  FindHeldKeyspaces const request{membership.number, std::move(keyspaces)};
  if (consensus_.isMember() && consensus_.holdsAllKeys()) round->answers.add(reply(request));
  for (Member const& member : membership.members)
    if (member.id != consensus_.self().id) call(member, request, round);
  error_code ignored;
  if (!round->isDecided()) co_await round->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  if (round->answers.answered.size() < round->quorum) co_return std::nullopt;
  co_return round->answers;
}

void KeyspaceSurvey::call(Member const& member, FindHeldKeyspaces const& request, std::shared_ptr<Round> round) {
  Ms const limit = settings_.bounds.settleWithin / roundDivisor;
  ++round->outstanding;
  asio::co_spawn(io_, rpc_.call(settings_.controlAddress(member.ip), request, limit),
                 [round, asked = member.id](std::exception_ptr failure, HeldKeyspacesReply answer) {
                   --round->outstanding;
                   if (!failure && answer.from == asked) round->answers.add(answer);
                   if (round->isDecided()) round->timer.cancel();
                 });
}

}  // namespace tealshelf

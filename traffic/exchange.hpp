#pragma once
#include "traffic/connection_pool.hpp"
#include "traffic/worker_load.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// How a send to a worker ended.
enum class SendResult {
  notSent,   ///< no byte reached the worker
  notRun,    ///< the worker says that it did not run the request
  maybeRun,  ///< the request may have run
  answered,  ///< a head arrived
  timedOut   ///< the time was up; the request may have run
};

/// What a read of a body gave.
enum class BodyState { partial, complete, broken };

/// Whose answer a head belongs to, by the attempt id that it bears.
enum class AnswerOwner {
  ours,     ///< it bears our id, or it can't be another's
  another,  ///< it bears another id: a late answer to an earlier request
  unknown   ///< it can't be told
};
/// Decides by the id alone; what the answer says must not count before it is known whose it is. Without an id it is
/// ours only where no other request can have been answered: on a connection whose first request is this one, as its
/// first answer.
AnswerOwner answerOwner(http::fields const& headers, string_view attempt, bool onlyRequest);

/// One request at one worker, and its answer.
///
/// Runs on the io thread; the pool must outlive it. An exchange that is destroyed before release() closes its
/// connection.
class Exchange {
 public:
  Exchange(ConnectionPool& pool, Worker const& worker, bool mayRepeat)
      : pool_(pool), worker_(worker), mayRepeat_(mayRepeat) {}
  ~Exchange();
  /// From this time on the request is no longer written; send() then ends as notSent.
  void setSendDeadline(TimePoint sendDeadline) { sendDeadline_ = sendDeadline; }
  /// Sends the request and reads the head of the answer that bears its id. Any doubt closes the connection and ends as
  /// maybeRun.
  Task<SendResult> send(HttpRequest const& request, string attempt, TimePoint until);
  // REQUIRES, up to worker(): send() ended as answered or notRun.
  http::fields const& headers() const { return parser_->get().base(); }
  int status() const { return static_cast<int>(parser_->get().result_int()); }
  string header(string_view name) const;
  /// True if the answer bears the seal without which a success doesn't count.
  bool isSealed() const { return !header("Server-Seal").empty(); }
  std::optional<WorkerLoad> workerLoad() const { return parseWorkerLoad(header("Server-Load")); }
  /// Appends some of the body. One without a length is complete when the worker ends its connection in order, and
  /// broken if that is reset or the time is up.
  Task<BodyState> readBody(string& body, TimePoint until);
  /// The same for a stream of events. One without a length counts as broken: a worker that crashes between two events
  /// ends its connection as one that is done does.
  Task<BodyState> readEvents(string& body, TimePoint until);

  Worker const& worker() const { return worker_; }
  /// True if no request was sent on its connection before.
  bool onNewConnection() const { return newConnection_; }
  /// True if the worker neither took nor refused a new connection in time.
  bool connectionWasUnanswered() const { return connectionWasUnanswered_; }
  /// Ends the exchange; its connection is closed.
  void abort();
  /// Closes the connection under a send() or readBody() that is under way, which then ends as broken off.
  void cancel();
  /// Gives the connection back if it is clean; called once the answer was read whole.
  void release();

 private:
  /// How the write of a request ended.
  enum class WriteResult { whole, nothing, part, inputArrived };
  /// The worker reset the connection before it gave an answer.
  void noteReset();
  Task<bool> connect(TimePoint until);
  Task<WriteResult> write(HttpRequest const& request);
  Task<error_code> readHead(HttpRequest const& request);
  Task<SendResult> readAnswer(HttpRequest const& request, TimePoint until);
  Task<bool> skipAnswer(TimePoint until);
  bool isRefusal() const;
  /// True if nothing but the end of the connection tells where the answer ends.
  bool isCloseDelimited() const;
  /// Closes the connection; the result for a request of which something may have been sent.
  SendResult giveUp();
  /// How long the connection may be kept idle; 0 if it can't be.
  Ms keepAliveTime() const;

  ConnectionPool& pool_;
  Worker worker_;
  std::unique_ptr<WorkerConnection> connection_;
  std::unique_ptr<SocketDeadline> deadline_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  string attempt_;
  TimePoint sendDeadline_ = TimePoint::max();
  bool mayRepeat_ = false;
  bool newConnection_ = false;
  bool connectionWasUnanswered_ = false;
  bool cancelled_ = false;
  Ms idleBefore_{0};  ///< how long a used connection was idle
};

}  // namespace tealshelf

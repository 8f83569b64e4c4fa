#pragma once
#include "traffic/connection_pool.hpp"
#include "traffic/worker_load.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// The outcome of sending a request to a worker.
enum class SendResult {
  notSent,   ///< no byte reached the worker
  notRun,    ///< the worker reported that it did not run the request
  maybeRun,  ///< the request may have run
  answered,  ///< the head of an answer arrived
  timedOut,  ///< the deadline passed; the request may have run
  noRoom     ///< this process may not open another connection; no byte reached the worker
};

/// State of a body after a read.
enum class BodyState { partial, complete, broken };

/// The request that an answer belongs to, by the attempt id in its head.
enum class AnswerOwner {
  ours,     ///< it has the id of this request, or can't belong to another
  another,  ///< it has another id: a late answer to an earlier request
  unknown   ///< undecidable
};
/// Decides by the id alone: the rest of an answer has no meaning until its request is known. Without an id the answer
/// is `ours` only if it is the first on a connection whose first request is this one (`onlyRequest`).
AnswerOwner answerOwner(http::fields const& headers, string_view attempt, bool onlyRequest);

/// One request to one worker, and its answer.
///
/// Runs on the io thread; the pool must outlive it. An exchange that is destroyed before release() closes its
/// connection.
class Exchange {
 public:
  Exchange(ConnectionPool& pool, Worker const& worker, bool mayRepeat)
      : pool_(pool), worker_(worker), mayRepeat_(mayRepeat) {}
  ~Exchange();
  /// If the request can't begin to be written before this time, send() returns notSent.
  void setSendDeadline(TimePoint sendDeadline) { sendDeadline_ = sendDeadline; }
  /// Sends the request and reads the head of the answer with its id. If it is unclear whether the request ran, closes
  /// the connection and returns maybeRun.
  Task<SendResult> send(HttpRequest const& request, string attempt, TimePoint until);
  // All members up to worker() require that send() returned answered or notRun.
  http::fields const& headers() const { return parser_->get().base(); }
  int status() const { return static_cast<int>(parser_->get().result_int()); }
  string header(string_view name) const;
  /// True if the answer has a Server-Seal header, without which a success isn't valid.
  bool isSealed() const { return !header("Server-Seal").empty(); }
  std::optional<WorkerLoad> workerLoad() const { return parseWorkerLoad(header("Server-Load")); }
  /// Appends some of the body. A body without a length is complete when the worker closes the connection, and broken if
  /// the connection is reset or the time is up.
  Task<BodyState> readBody(string& body, TimePoint until);
  /// The same for a stream of events. A stream without a length counts as broken: the connection of a worker that
  /// crashes between two events closes just as that of a worker that is done.
  Task<BodyState> readEvents(string& body, TimePoint until);

  Worker const& worker() const { return worker_; }
  /// True if this is the first request on its connection.
  bool onNewConnection() const { return newConnection_; }
  /// True if the worker neither accepted nor refused a new connection in time.
  bool connectionWasUnanswered() const { return connectionWasUnanswered_; }
  /// Ends the exchange and closes its connection.
  void abort();
  /// Closes the connection during a send() or readBody(), which then fails.
  void cancel();
  /// Returns the connection to the pool if it can be reused; called once the whole answer was read.
  void release();

 private:
  /// The outcome of writing a request.
  enum class WriteResult { whole, nothing, part, inputArrived };
  /// The worker reset the connection before it answered.
  void noteReset();
  Task<bool> connect(TimePoint until);
  Task<WriteResult> write(HttpRequest const& request);
  Task<error_code> readHead(HttpRequest const& request);
  Task<SendResult> readAnswer(HttpRequest const& request, TimePoint until);
  Task<bool> skipAnswer(TimePoint until);
  bool isRefusal() const;
  /// True if only the close of the connection marks the end of the body.
  bool isCloseDelimited() const;
  /// Closes the connection and returns the result for a request that may have been sent in part.
  SendResult giveUp();
  /// How long the idle connection may be kept; 0 if not at all.
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
  Ms idleBefore_{0};  ///< how long a reused connection was idle
};

}  // namespace tealshelf

#pragma once
#include "updates/fleet_view.hpp"
#include "wire/http.hpp"

namespace tealshelf {

using Ask = http::request<http::string_body>;

/// A connection to a worker.
struct WorkerConnection {
  explicit WorkerConnection(asio::io_context& io) : sock(io) {}
  /// True if it is open and no byte and no end has come in that nobody has read. Whatever lies there
  /// before a request is written belongs to no request that is still to come.
  bool quiet();
  bool failedHere(string_view attempt) const;
  tcp::socket sock;
  beast::flat_buffer buf;
  TimePoint keepUntil, idleSince;
  vector<std::uint64_t> failed;  ///< hashes of attempts that were refused or failed on it and may come again
};

/// How long a connection may have been idle before it isn't trusted with a request that must not
/// be sent twice: learnt from those that were reset when they were used again. Pure, for tests.
class IdleAge {
 public:
  IdleAge(Ms most, Ms least) : most_(most), least_(least), age_(most) {}
  /// A connection idle for so long was reset when a request was sent on it.
  void reset(Ms idle) { age_ = std::max(least_, std::min(age_, idle / 2)); }
  /// One idle for so long still worked: what was learnt fades.
  void worked(Ms idle) {
    if (idle > age_)
      age_ = std::min(most_, age_ + (idle - age_) / 4);
    else
      age_ = std::min(most_, age_ + Ms(1));
  }
  Ms trusted() const { return age_; }

 private:
  Ms most_, least_, age_;
};

/// Idle connections to workers.
class Pools {
 public:
  Pools(asio::io_context& io, Settings const& settings)
      : io_(io), settings_(settings), age_(Ms(4 * settings.bounds.inTouch), Ms(settings.bounds.step / 8)) {}
  /// An idle connection on which nothing came in, or a new one not yet connected. A request that must
  /// not be sent twice gets none that was idle for longer than is trusted.
  /// It also gets none on which the same attempt failed before: a second answer to that one could come
  /// late and would bear the id of this one.
  std::unique_ptr<WorkerConnection> take(Worker const& w, bool mayRepeat, string_view attempt);
  /// A new connection, not yet connected.
  std::unique_ptr<WorkerConnection> create() { return std::make_unique<WorkerConnection>(io_); }
  IdleAge& age() { return age_; }
  void give(string const& id, std::unique_ptr<WorkerConnection> p);
  /// Closes what is idle for workers that are gone or for too long.
  void sweep(FleetView const& view);
  asio::io_context& io() { return io_; }
  Settings const& settings() const { return settings_; }

 private:
  asio::io_context& io_;
  Settings const& settings_;
  IdleAge age_;
  std::map<string, vector<std::unique_ptr<WorkerConnection>>> idle_;
};

/// How a send to a worker ended.
enum class Verdict {
  notSent,   ///< no byte reached the worker
  notRun,    ///< the worker says that it did not run the request
  unclear,   ///< the request may have run
  answered,  ///< a head came
  timeUp     ///< the time was up; the request may have run
};
enum class Piece { some, whole, broken };

/// Whose answer a head belongs to, by the attempt id that it bears.
enum class Owner {
  ours,     ///< it bears our id, or it can't be another's
  another,  ///< it bears another id: a late answer to an earlier request
  doubtful  ///< it can't be told
};
/// Decides by the id alone; what the answer says must not count before it is known whose it is. Without
/// an id it is ours only where no other request can have been answered: on a connection whose first
/// request is this one, as its first answer.
Owner ownerOf(http::fields const& head, string_view attempt, bool onlyRequest);

/// One request at one worker.
class Exchange {
 public:
  Exchange(Pools& pools, Worker const& w, bool mayRepeat) : pools_(pools), worker_(w), mayRepeat_(mayRepeat) {}
  ~Exchange();
  /// Sends the request and reads the head of the answer that carries its id. Any doubt closes the
  /// connection and ends as unclear.
  Task<Verdict> start(Ask const& q, string attempt, TimePoint until);
  http::fields const& head() const { return parser_->get().base(); }
  int status() const { return static_cast<int>(parser_->get().result_int()); }
  string headText(string_view name) const;
  /// True if the answer bears the seal without which a success doesn't count.
  bool sealed() const { return !headText("Server-Seal").empty(); }
  /// Running, waiting and slots as the worker told them.
  std::optional<std::array<std::uint64_t, 3>> load() const;
  /// Reads some of the body.
  Task<Piece> read(string& out, TimePoint until);
  Worker const& worker() const { return worker_; }
  /// Ends the request; its connection is not used again.
  void cut();
  /// Gives the connection back when the whole answer was read.
  void done() { release(); }
  bool fresh() const { return fresh_; }

 private:
  /// How the write of a request ended.
  enum class Written { whole, nothing, part, doubtful };
  Task<bool> connect(TimePoint until);
  Task<Written> write(Ask const& q);
  Task<error_code> readHead(Ask const& q);
  Task<Verdict> readAnswer(Ask const& q, TimePoint until);
  Task<bool> skipAnswer(TimePoint until);
  bool refused() const;
  /// Closes the connection; the verdict for a request of which something may have been sent.
  Verdict doubt();
  void release();
  Pools& pools_;
  Worker worker_;
  std::unique_ptr<WorkerConnection> conn_;
  std::unique_ptr<SocketDeadline> guard_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  string attempt_;
  bool mayRepeat_ = false, fresh_ = false;
  Ms idle_{0};
};

/// Takes the events out of a stream's bytes.
class EventReader {
 public:
  /// Feeds bytes; gives the whole events that are complete now.
  string feed(string_view s);
  std::uint64_t last() const { return last_; }
  bool any() const { return any_; }
  bool clean() const { return rest_.empty(); }
  void restart() { rest_.clear(); }
  /// Data of the events given so far, if it is collected.
  std::optional<string> data;

 private:
  void event(string_view e);
  string rest_;
  std::uint64_t last_ = 0;
  bool any_ = false;
};

}  // namespace tealshelf

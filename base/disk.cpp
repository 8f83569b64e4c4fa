#include "base/disk.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <boost/crc.hpp>

namespace tealshelf {

namespace {
std::uint32_t crcOf(string_view s) {
  boost::crc_32_type c;
  c.process_bytes(s.data(), s.size());
  return c.checksum();
}
string framed(string_view r) {
  string f(8, '\0');
  std::uint32_t const n = static_cast<std::uint32_t>(r.size()), c = crcOf(r);
  std::memcpy(&f[0], &n, 4);
  std::memcpy(&f[4], &c, 4);
  f.append(r);
  return f;
}
bool slurp(string const& p, string& out) {
  int const fd = ::open(p.c_str(), O_RDONLY);
  if (fd < 0) return false;
  struct stat st {};
  ::fstat(fd, &st);
  out.resize(static_cast<std::size_t>(st.st_size));
  std::size_t at = 0;
  while (at < out.size()) {
    ssize_t const n = ::pread(fd, &out[at], out.size() - at, static_cast<off_t>(at));
    if (n <= 0) break;
    at += static_cast<std::size_t>(n);
  }
  out.resize(at);
  ::close(fd);
  return true;
}
void writeAll(int fd, string_view s) {
  while (!s.empty()) {
    ssize_t const n = ::write(fd, s.data(), s.size());
    if (n < 0) throw Error(Code::diskFailed, std::strerror(errno));
    s.remove_prefix(static_cast<std::size_t>(n));
  }
}
void syncDir(string const& d) {
  int const fd = ::open(d.c_str(), O_RDONLY | O_DIRECTORY);
  if (fd < 0) throw Error(Code::diskFailed, d);
  ::fsync(fd);
  ::close(fd);
}
string nameOf(string const& d, char const* kind, std::uint64_t n) {
  return d + "/" + kind + "-" + hex(n);
}
vector<std::pair<string, std::uint64_t>> listed(string const& d) {
  vector<std::pair<string, std::uint64_t>> r;
  DIR* const h = ::opendir(d.c_str());
  if (!h) return r;
  while (dirent const* const e = ::readdir(h)) {
    string const n = e->d_name;
    std::size_t const p = n.find('-');
    if (p == string::npos || n.size() != p + 17) continue;
    r.emplace_back(n.substr(0, p), std::strtoull(n.c_str() + p + 1, nullptr, 16));
  }
  ::closedir(h);
  std::sort(r.begin(), r.end(), [](auto const& a, auto const& b) { return a.second < b.second; });
  return r;
}
/// Reads the records of one file; a bad record with good ones after it is corrupt, one at the end is torn.
bool readFile(string const& p, Found& f) {
  string s;
  if (!slurp(p, s)) return false;
  f.bytes += s.size();
  std::size_t at = 0;
  while (at + 8 <= s.size()) {
    std::uint32_t n = 0, c = 0;
    std::memcpy(&n, &s[at], 4);
    std::memcpy(&c, &s[at + 4], 4);
    if (n == 0 || at + 8 + n > s.size()) break;
    string_view const r(s.data() + at + 8, n);
    if (crcOf(r) != c) {
      std::uint32_t m = 0, k = 0;
      std::size_t const b = at + 8 + n;
      bool good = false;
      if (b + 8 <= s.size()) {
        std::memcpy(&m, &s[b], 4);
        std::memcpy(&k, &s[b + 4], 4);
        good = m && b + 8 + m <= s.size() && crcOf(string_view(s.data() + b + 8, m)) == k;
      }
      if (!good) break;
      f.corrupt.push_back(p + " at " + std::to_string(at));
      at = b;
      continue;
    }
    f.records.emplace_back(r);
    at += 8 + n;
  }
  f.torn += s.size() - at;
  return true;
}
}  // namespace

Found readLogs(string const& dir) {
  Found f;
  vector<std::pair<string, std::uint64_t>> const l = listed(dir);
  std::uint64_t base = 0;
  for (std::pair<string, std::uint64_t> const& p : l) {
    f.lastNo = std::max(f.lastNo, p.second);
    if (p.first == "snap") base = std::max(base, p.second);
  }
  if (base) readFile(nameOf(dir, "snap", base), f);
  for (std::pair<string, std::uint64_t> const& p : l)
    if (p.first == "log" && p.second >= base) readFile(nameOf(dir, "log", p.second), f);
  return f;
}

DiskLog::DiskLog(asio::io_context& io, string dir, std::size_t turnAt, Snapshot snap)
    : io_(io), dir_(std::move(dir)), turnAt_(turnAt), snap_(std::move(snap)) {
  ::mkdir(dir_.c_str(), 0755);
  // What a killed process had written but not synced is read back now and would be relied on, so
  // it is synced first: a later loss of power must not take it away again.
  for (std::pair<string, std::uint64_t> const& p : listed(dir_)) {
    int const fd = ::open(nameOf(dir_, p.first.c_str(), p.second).c_str(), O_RDONLY);
    if (fd < 0 || ::fsync(fd)) throw Error(Code::diskFailed, dir_);
    ::close(fd);
  }
  syncDir(dir_);
  found_ = readLogs(dir_);
  no_ = found_.lastNo;
  written_ = found_.bytes;
  thread_ = std::thread([this] { run(); });
}
DiskLog::~DiskLog() {
  {
    std::lock_guard<std::mutex> const g(lock_);
    stop_ = true;
  }
  wake_.notify_one();
  thread_.join();
}
void DiskLog::append(string r) {
  next_.bytes += framed(r);
}
void DiskLog::synced(std::function<void()> f) {
  next_.calls.push_back(std::move(f));
  hand();
}
Task<void> DiskLog::settled() {
  asio::steady_timer t(io_, Moment::max());
  bool ready = false;
  synced([&t, &ready] {
    ready = true;
    t.cancel();
  });
  error_code e;
  while (!ready) co_await t.async_wait(asio::redirect_error(asio::use_awaitable, e));
}
void DiskLog::hand() {
  if (inWork_ || (next_.bytes.empty() && next_.calls.empty())) return;
  Job j = std::move(next_);
  next_ = Job();
  written_ += j.bytes.size();
  if (written_ > turnAt_) {
    string all;
    for (string const& r : snap_()) all += framed(r);
    j.bytes = std::move(all);
    j.turn = true;
    written_ = j.bytes.size() > turnAt_ / 2 ? 0 : j.bytes.size();
  }
  inWork_ = true;
  {
    std::lock_guard<std::mutex> const g(lock_);
    work_ = std::move(j);
  }
  wake_.notify_one();
}
void DiskLog::run() {
  int fd = -1;
  auto const turn = [&] {
    if (fd >= 0) ::close(fd);
    fd = ::open(nameOf(dir_, "log", ++no_).c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    if (fd < 0) throw Error(Code::diskFailed, dir_);
    ::fsync(fd);
    syncDir(dir_);
  };
  try {
    for (;;) {
      Job j;
      {
        std::unique_lock<std::mutex> g(lock_);
        wake_.wait(g, [this] { return stop_ || work_; });
        if (!work_) break;
        j = std::move(*work_);
        work_.reset();
      }
      Moment const t = Clock::now();
      if (j.turn) {
        string const tmp = dir_ + "/next";
        int const s = ::open(tmp.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0644);
        if (s < 0) throw Error(Code::diskFailed, tmp);
        writeAll(s, j.bytes);
        ::fsync(s);
        ::close(s);
        std::uint64_t const base = no_ + 1;
        if (::rename(tmp.c_str(), nameOf(dir_, "snap", base).c_str())) throw Error(Code::diskFailed, "rename");
        turn();
        for (std::pair<string, std::uint64_t> const& p : listed(dir_))
          if (p.second < base) ::unlink(nameOf(dir_, p.first.c_str(), p.second).c_str());
        syncDir(dir_);
      } else if (!j.bytes.empty()) {
        if (fd < 0) turn();
        writeAll(fd, j.bytes);
        if (::fdatasync(fd)) throw Error(Code::diskFailed, std::strerror(errno));
      }
      Ms const d = std::chrono::duration_cast<Ms>(Clock::now() - t);
      std::shared_ptr<Job> const done = std::make_shared<Job>(std::move(j));
      asio::post(io_, [this, done, d] {
        lastSync_ = d;
        inWork_ = false;
        for (std::function<void()> const& f : done->calls) f();
        hand();
      });
    }
  } catch (Error const& x) {
    say(Level::error, "disk", x.what());
    std::_Exit(3);
  }
  if (fd >= 0) ::close(fd);
}

Identity identityOf(string const& dir, bool& fresh) {
  string s;
  string const p = dir + "/identity";
  std::uint64_t v = 0;
  fresh = !(slurp(p, s) && s.size() == 16);
  if (!fresh) {
    syncDir(dir);
    return Identity(std::strtoull(s.c_str(), nullptr, 16));
  }
  ::mkdir(dir.c_str(), 0755);
  v = randomId();
  string const tmp = dir + "/identity.new";
  int const fd = ::open(tmp.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0644);
  if (fd < 0) throw Error(Code::diskFailed, tmp);
  writeAll(fd, hex(v));
  ::fsync(fd);
  ::close(fd);
  if (::rename(tmp.c_str(), p.c_str())) throw Error(Code::diskFailed, "rename");
  syncDir(dir);
  return Identity(v);
}

}  // namespace tealshelf

#include "lots/lot_api.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace tealshelf {

namespace {
constexpr std::size_t mostItems = 200;
constexpr std::uint64_t mostBytes = 900u << 10;

constexpr std::array<signed char, 256> makeDigits() {
  std::array<signed char, 256> t{};
  for (signed char& c : t) c = -1;
  for (int i = 0; i < 26; ++i) {
    t[static_cast<std::size_t>('A' + i)] = static_cast<signed char>(i);
    t[static_cast<std::size_t>('a' + i)] = static_cast<signed char>(26 + i);
  }
  for (int i = 0; i < 10; ++i) t[static_cast<std::size_t>('0' + i)] = static_cast<signed char>(52 + i);
  t['+'] = 62;
  t['/'] = 63;
  return t;
}
constexpr std::array<signed char, 256> digits = makeDigits();

string query(string_view target, string_view key) {
  std::size_t const q = target.find('?');
  if (q == string_view::npos) return "";
  for (string const& p : split(target.substr(q + 1), '&'))
    if (p.size() > key.size() && p.compare(0, key.size(), key) == 0 && p[key.size()] == '=')
      return p.substr(key.size() + 1);
  return "";
}
}  // namespace

bool unbase64(string_view s, string& out) {
  if (s.size() % 4) return false;
  out.clear();
  out.reserve(s.size() / 4 * 3);
  for (std::size_t i = 0; i < s.size(); i += 4) {
    std::uint32_t v = 0;
    int pad = 0;
    for (std::size_t j = 0; j < 4; ++j) {
      char const c = s[i + j];
      if (c == '=' && i + 4 == s.size() && j >= 2) {
        ++pad;
        v <<= 6;
        continue;
      }
      signed char const d = digits[static_cast<unsigned char>(c)];
      if (d < 0 || pad) return false;
      v = v << 6 | static_cast<std::uint32_t>(d);
    }
    out += static_cast<char>(v >> 16);
    if (pad < 2) out += static_cast<char>(v >> 8);
    if (pad < 1) out += static_cast<char>(v);
  }
  return true;
}

vector<ItemRecord> readLot(string const& body) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (d.HasParseError() || !d.IsObject() || !d.HasMember("requests") || !d["requests"].IsArray())
    throw Error(ErrorCode::lotUnreadable);
  rapidjson::Value const& a = d["requests"];
  if (a.Size() > mostItems) throw Error(ErrorCode::lotTooManyItems);
  if (a.Empty()) throw Error(ErrorCode::lotUnreadable, "no items");
  vector<ItemRecord> v;
  std::set<string> ids;
  for (rapidjson::Value const& x : a.GetArray()) {
    if (!x.IsObject() || !x.HasMember("serverId") || !x["serverId"].IsString() || !x.HasMember("urlPath") ||
        !x["urlPath"].IsString())
      throw Error(ErrorCode::lotUnreadable, "item");
    ItemRecord r;
    r.id = x["serverId"].GetString();
    r.path = x["urlPath"].GetString();
    if (r.id.empty() || r.path.empty() || r.path[0] != '/') throw Error(ErrorCode::lotUnreadable, "item");
    if (!ids.insert(r.id).second) throw Error(ErrorCode::duplicateItem, r.id);
    if (x.HasMember("headerMap")) {
      if (!x["headerMap"].IsObject()) throw Error(ErrorCode::lotUnreadable, "headerMap");
      for (rapidjson::Value::ConstMemberIterator h = x["headerMap"].MemberBegin(); h != x["headerMap"].MemberEnd();
           ++h) {
        if (!h->value.IsString()) throw Error(ErrorCode::lotUnreadable, "headerMap");
        string const n = h->name.GetString(), t = h->value.GetString();
        if ((n + t).find_first_of("\r\n") != string::npos || n.find_first_of(": ") != string::npos || n.empty())
          throw Error(ErrorCode::lotUnreadable, "headerMap");
        r.heads.emplace_back(n, t);
      }
    }
    if (x.HasMember("payload")) {
      if (!x["payload"].IsString() ||
          !unbase64(string_view(x["payload"].GetString(), x["payload"].GetStringLength()), r.body))
        throw Error(ErrorCode::badItemPayload, r.id);
    }
    if (x.HasMember("tokens") && x["tokens"].IsNumber() && x["tokens"].GetDouble() >= 0)
      r.tokens = static_cast<std::uint64_t>(x["tokens"].GetDouble());
    else
      throw Error(ErrorCode::lotUnreadable, "tokens");
    v.push_back(std::move(r));
  }
  return v;
}

bool LotApi::isLotCall(Configuration const& c, string_view verb, string_view host, string_view path) const {
  bool const list = path.substr(0, 6) == "/lots/", one = path.substr(0, 7) == "/items/";
  if (!(list && (verb == "GET" || verb == "DELETE")) && !(one && verb == "GET")) return false;
  for (Route const& m : c.routes)
    if (m.kind == RouteKind::bulk && m.host == host) return true;
  return c.findRoute(host, path) == nullptr;
}

/// Asks the control node in use, then the others.
template <class Q>
Task<typename Q::Reply> LotApi::coordinator(Q q, Ms limit) {
  std::optional<Error> last;
  int tries = 0;
  for (Address const& a : view_.controls()) {
    if (++tries > 3) break;
    try {
      typename Q::Reply r = co_await rpc_.call(a, q, limit);
      view_.worked(a);
      co_return r;
    } catch (Error const& x) {
      if (x.code() == ErrorCode::notConnected || x.code() == ErrorCode::connectionLost ||
          x.code() == ErrorCode::timedOut)
        view_.failed(a);
      if (x.kind() == ErrorKind::notFound || x.kind() == ErrorKind::overQuota || x.code() == ErrorCode::staleStamp ||
          x.code() == ErrorCode::noStores)
        throw;
      last = x;
    }
  }
  throw last ? *last : Error(ErrorCode::notConnected);
}

Task<HttpReply> LotApi::handIn(Route const& m, string id, string const& body) {
  vector<ItemRecord> items = readLot(body);
  if (!view_.near()) throw Error(ErrorCode::lotStateUnknown);
  if (id.empty()) throw Error(ErrorCode::lotUnreadable, "no id");
  LotOpen q;
  q.lot.id = id;
  q.lot.host = m.host;
  q.lot.route = m.name;
  q.lot.keepFor = m.keepFor.count();
  q.lot.dueIn = m.dueIn.count();
  q.lot.total = items.size();
  q.lot.tries = m.tries;
  for (ItemRecord const& r : items) q.lot.tokens += r.tokens;
  q.most = m.maxQueuedTokens;
  string const packedItems = serialize(items);
  items.clear();
  Ms const limit(settings_.bounds.inTouch / 5);
  try {
    for (int turn = 0;; ++turn) {
      LotOpenReply const o = co_await coordinator(q, limit);
      if (o.taken) break;
      std::optional<Error> failed;
      try {
        SegCreate const ask{o.lot, packedItems, {}, true};
        co_await rpc_.call(o.lot.holders[0].at, ask, limit);
      } catch (Error const& x) {
        failed = x;
      }
      if (failed) {
        // Another store may do; the stamp of this try is never accepted then.
        if (turn >= 1) throw *failed;
        q.bar.push_back(o.lot.holders[0].id);
        continue;
      }
      LotAccept const then{m.host, id, o.lot.stamp, 0};
      co_await coordinator(then, limit);
      break;
    }
  } catch (Error const& x) {
    // Only a refusal that came before anything was recorded is a promise.
    if (x.code() == ErrorCode::lotOverQuota) {
      HttpReply a = errorReply(x);
      a.headers.emplace_back("Retry-After", "0.5");
      co_return a;
    }
    // An owner that was overtaken may not know the lot; that says nothing of whether it was taken.
    bool const unsure = x.code() == ErrorCode::staleStamp || x.code() == ErrorCode::lotUnknown;
    if (x.status() < 500 && !unsure) throw;
    HttpReply a = errorReply(x);
    a.status = 500;
    logDebug("lots", string("a lot was not taken: ") + x.what());
    co_return a;
  }
  co_return HttpReply{202, "{}", "application/json", {}};
}

Task<LotRecord> LotApi::where(string host, string id, bool anew) {
  std::pair<string, string> const k(host, id);
  if (!anew && known_.count(k)) co_return known_[k];
  LotFind const ask{host, id, 0};
  LotFindReply const r = co_await coordinator(ask, Ms(settings_.bounds.settleWithin / 2));
  if (!r.known) throw Error(ErrorCode::lotUnknown);
  if (known_.size() > 4096) known_.clear();
  known_[k] = r.lot;
  co_return r.lot;
}

Task<HttpReply> LotApi::call(string verb, string host, string target, std::int64_t holdMs) {
  string_view const path = string_view(target).substr(0, target.find('?'));
  try {
    if (!view_.near()) throw Error(ErrorCode::lotStateUnknown);
    if (path.substr(0, 7) == "/items/")
      co_return co_await item(host, string(path.substr(7)), query(target, "serverId"));
    string const id(path.substr(6));
    if (verb == "DELETE") {
      LotEnd const ask{host, id, 0};
      LotFindReply const r = co_await coordinator(ask, Ms(settings_.bounds.inTouch / 2));
      if (!r.known) throw Error(ErrorCode::lotUnknown);
      known_[{host, id}] = r.lot;
      co_return HttpReply{200, "{}", "application/json", {}};
    }
    string const a = query(target, "startAfter");
    std::optional<std::uint64_t> const from = a.empty() ? 0 : parseNumber(a);
    if (!from) throw Error(ErrorCode::lotUnreadable, "startAfter");
    co_return co_await list(host, id, *from, holdMs);
  } catch (Error const& x) {
    if (x.status() == 404 || x.status() == 400) co_return errorReply(x);
    logDebug("lots", target + ": " + x.what());
    HttpReply a = errorReply(Error(ErrorCode::lotStateUnknown));
    a.headers.emplace_back("Retry-After", "0.05");
    co_return a;
  }
}

Task<HttpReply> LotApi::list(string host, string id, std::uint64_t from, std::int64_t holdMs) {
  TimePoint const until = Clock::now() + Ms(std::max<std::int64_t>(holdMs, settings_.bounds.settleWithin.count()));
  std::optional<SegReadReply> got;
  for (int turn = 0; !got; ++turn) {
    LotRecord const l = co_await where(host, id, turn > 0);
    if (l.holders.empty()) throw Error(ErrorCode::lotStateUnknown);
    try {
      std::int64_t const left = std::min<std::int64_t>(holdMs, remainingMs(until));
      SegRead const ask{host, id, l.stamp, from, mostBytes, left};
      got = co_await rpc_.call(l.holders[0].at, ask, Ms(left) + settings_.bounds.settleWithin / 2);
    } catch (Error const& x) {
      if (Clock::now() + Ms(settings_.bounds.step) > until) throw Error(ErrorCode::lotStateUnknown);
    }
    if (!got) co_await sleepFor(Ms(settings_.bounds.step / 2));
  }
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  w.StartObject();
  w.Key("total");
  w.Uint64(got->total);
  w.Key("nextToken");
  w.Uint64(from + got->outputs.size());
  w.Key("outputs");
  w.StartArray();
  for (std::size_t i = 0; i < got->outputs.size(); ++i) {
    ResultRecord const& r = got->outputs[i];
    w.StartObject();
    w.Key("serverId");
    w.String(got->ids[i].data(), static_cast<rapidjson::SizeType>(got->ids[i].size()));
    w.Key("state");
    w.String(r.finished ? "finished" : "given_up");
    w.Key("message");
    w.String(r.text.data(), static_cast<rapidjson::SizeType>(r.text.size()));
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  co_return HttpReply{200, string(b.GetString(), b.GetSize()), "application/json", {}};
}

Task<HttpReply> LotApi::item(string host, string id, string item) {
  TimePoint const until = Clock::now() + Ms(settings_.bounds.settleWithin);
  for (int turn = 0;; ++turn) {
    LotRecord const l = co_await where(host, id, turn > 0);
    if (l.holders.empty()) throw Error(ErrorCode::lotStateUnknown);
    try {
      SegItem const ask{host, id, item, l.stamp};
      SegItemReply r = co_await rpc_.call(l.holders[0].at, ask, Ms(settings_.bounds.settleWithin / 2));
      if (!r.known) throw Error(ErrorCode::itemUnknown);
      co_return HttpReply{200, std::move(r.body), "application/octet-stream", {}};
    } catch (Error const& x) {
      if (x.code() == ErrorCode::itemUnknown) throw;
      if (Clock::now() + Ms(settings_.bounds.step) > until) throw Error(ErrorCode::lotStateUnknown);
    }
    co_await sleepFor(Ms(settings_.bounds.step / 2));
  }
}

}  // namespace tealshelf

#include "configuration/configuration.hpp"

#include <boost/property_tree/json_parser.hpp>
#include <sstream>

namespace tealshelf {

namespace {
using Tree = boost::property_tree::ptree;

/// Three years in milliseconds.
constexpr std::uint64_t longestDuration = 3ull * 366 * 24 * 3600 * 1000;
/// The largest weight of one part of a route's traffic, so that sums don't overflow.
constexpr std::uint64_t largestWeight = 1000000000;

class Reader {
 public:
  explicit Reader(vector<ConfigurationFault>& f) : faults_(f) {}
  void fault(ErrorCode c, string const& t) { faults_.push_back({c, t}); }

  string text(Tree const& t, char const* k, string const& where, bool must) {
    boost::optional<Tree const&> const v = t.get_child_optional(k);
    if (!v) {
      if (must) fault(ErrorCode::unreadable, where + " has no " + k);
      return "";
    }
    if (!v->empty()) fault(ErrorCode::wrongType, where + "." + k);
    return v->data();
  }
  std::uint64_t number(Tree const& t, char const* k, string const& where, std::uint64_t usual, bool must = false) {
    boost::optional<Tree const&> const v = t.get_child_optional(k);
    if (!v) {
      if (must) fault(ErrorCode::unreadable, where + " has no " + k);
      return usual;
    }
    string const& s = v->data();
    std::optional<std::uint64_t> const n = parseNumber(s);
    if (v->empty() && n) return *n;
    char* e = nullptr;
    double const d = std::strtod(s.c_str(), &e);
    bool const real = v->empty() && !s.empty() && e && !*e;
    if (real && d >= 0 && d < 1e15) return static_cast<std::uint64_t>(d);
    fault(real ? ErrorCode::outOfRange : ErrorCode::wrongType, where + "." + k + " can't be " + s.substr(0, 40));
    return usual;
  }
  /// A time in milliseconds, small enough to be added to a moment; the text holds it in units of so many.
  std::int64_t duration(Tree const& t, char const* k, string const& where, std::int64_t usual, bool must = false,
                        std::uint64_t unit = 1) {
    std::uint64_t const n = number(t, k, where, static_cast<std::uint64_t>(usual), must);
    if (n <= longestDuration / unit) return static_cast<std::int64_t>(n * unit);
    fault(ErrorCode::outOfRange, where + "." + k + " is too long");
    return usual;
  }
  bool flag(Tree const& t, char const* k, string const& where) {
    boost::optional<Tree const&> const v = t.get_child_optional(k);
    if (!v) return false;
    if (v->data() != "true" && v->data() != "false") fault(ErrorCode::wrongType, where + "." + k);
    return v->data() == "true";
  }

 private:
  vector<ConfigurationFault>& faults_;
};

constexpr std::pair<string_view, RouteKind> kinds[] = {{"repeatable", RouteKind::repeatable},
                                                       {"one_shot", RouteKind::oneShot},
                                                       {"streaming", RouteKind::streaming},
                                                       {"bulk", RouteKind::bulk}};

Route readRoute(Reader& r, Tree const& t, Configuration const& c) {
  Route m;
  m.name = r.text(t, "name", "route", true);
  string const w = "route " + m.name;
  m.host = r.text(t, "host", w, true);
  m.prefix = r.text(t, "pathStart", w, true);
  if (m.prefix.empty() || m.prefix.front() != '/' || m.prefix.back() != '/') r.fault(ErrorCode::badPrefix, w);
  string const k = r.text(t, "kind", w, true);
  bool known = false;
  for (std::pair<string_view, RouteKind> const& p : kinds)
    if (p.first == k) {
      m.kind = p.second;
      known = true;
    }
  if (!known) r.fault(ErrorCode::wrongType, w + ".kind");
  m.timeLimit = r.duration(t, "timeLimitMs", w, 0, true);
  if (!m.timeLimit) r.fault(ErrorCode::zeroTimeLimit, w);
  m.aim = r.duration(t, "targetMs", w, 0);
  m.gapAim = r.duration(t, "gapTargetMs", w, 0);
  m.dueIn = r.duration(t, "dueInMs", w, 0);
  m.keepFor = r.duration(t, "keepForS", w, 0, false, 1000);
  m.priority = r.number(t, "priority", w, 0);
  m.tries = std::max<std::uint64_t>(1, r.number(t, "tries", w, 1));
  m.mostQueued = r.number(t, "maxQueuedTokens", w, 0);
  m.sticky = r.flag(t, "sticky", w);
  m.resumable = r.flag(t, "resumable", w);
  boost::optional<Tree const&> const sp = t.get_child_optional("split");
  if (sp) {
    for (Tree::value_type const& p : *sp)
      m.shares.push_back(
          {r.text(p.second, "service", w + ".split", true), r.number(p.second, "share", w + ".split", 0, true)});
  } else {
    m.shares.push_back({r.text(t, "service", w, true), 1});
  }
  for (Share const& s : m.shares) {
    m.weights += s.weight;
    if (s.weight > largestWeight) r.fault(ErrorCode::outOfRange, w + " has a weight that is too large");
    if (!c.services.count(s.service)) r.fault(ErrorCode::unknownService, w + " names " + s.service);
  }
  if (!m.weights) r.fault(ErrorCode::zeroWeights, w);
  return m;
}
}  // namespace

string const& Route::serviceFor(std::uint64_t h) const {
  std::uint64_t x = h % std::max<std::uint64_t>(1, weights);
  for (Share const& s : shares) {
    if (x < s.weight) return s.service;
    x -= s.weight;
  }
  return shares.front().service;
}

Route const* Configuration::find(string_view host, string_view path) const {
  string_view const p = path.substr(0, path.find('?'));
  std::map<string, vector<std::uint32_t>, std::less<>>::const_iterator const i = table.find(host);
  if (i == table.end()) return nullptr;
  for (std::uint32_t const n : i->second) {
    string const& pre = routes[n].prefix;
    if (p.substr(0, pre.size()) == pre) return &routes[n];
  }
  return nullptr;
}
Route const* Configuration::byName(string_view name) const {
  for (Route const& m : routes)
    if (m.name == name) return &m;
  return nullptr;
}

std::shared_ptr<Configuration const> readConfiguration(string const& text, vector<ConfigurationFault>& faults) {
  std::shared_ptr<Configuration> const c = std::make_shared<Configuration>();
  Reader r(faults);
  Tree read;
  try {
    std::istringstream in(text);
    boost::property_tree::read_json(in, read);
    in >> std::ws;
    if (!in.eof()) throw Error(ErrorCode::unreadable);
  } catch (std::exception const&) {
    r.fault(ErrorCode::unreadable, "not JSON");
    return c;
  }
  Tree const& t = read;
  c->version = r.number(t, "version", "configuration", 0, true);
  boost::optional<Tree const&> const ss = t.get_child_optional("services"), rs = t.get_child_optional("routes"),
                                     ls = t.get_child_optional("limits");
  if (!ss || !rs) r.fault(ErrorCode::unreadable, "routes or services are missing");
  if ((ss && !ss->data().empty()) || (rs && !rs->data().empty()))
    r.fault(ErrorCode::wrongType, "routes or services are no lists");
  if (ss)
    for (Tree::value_type const& p : *ss) {
      ServiceLine s;
      s.name = r.text(p.second, "name", "service", true);
      s.healthPath = r.text(p.second, "healthPath", "service " + s.name, false);
      s.maxConnections = r.number(p.second, "maxConnections", "service " + s.name, 0);
      if (boost::optional<Tree const&> const e = p.second.get_child_optional("runtime")) {
        s.capacity = r.number(*e, "capacity", "runtime of " + s.name, 0);
        s.cacheTokens = r.number(*e, "cacheTokens", "runtime of " + s.name, 0);
      }
      c->services[s.name] = s;
    }
  std::set<std::pair<string, string>> places;
  if (rs)
    for (Tree::value_type const& p : *rs) {
      c->routes.push_back(readRoute(r, p.second, *c));
      Route const& m = c->routes.back();
      if (!places.insert({m.host, m.prefix}).second) r.fault(ErrorCode::duplicateRoute, m.host + m.prefix);
      c->table[m.host].push_back(static_cast<std::uint32_t>(c->routes.size() - 1));
    }
  if (ls) {
    c->limits.headerBytes = r.number(*ls, "maxHeaderBytes", "limits", c->limits.headerBytes);
    c->limits.bodyBytes = r.number(*ls, "maxBodyBytes", "limits", c->limits.bodyBytes);
    c->limits.headerWait = r.duration(*ls, "headerWaitMs", "limits", c->limits.headerWait);
    c->limits.idleLimit = r.duration(*ls, "idleLimitMs", "limits", c->limits.idleLimit);
  }
  for (std::pair<string const, vector<std::uint32_t>>& p : c->table)
    std::stable_sort(p.second.begin(), p.second.end(), [&](std::uint32_t a, std::uint32_t b) {
      return c->routes[a].prefix.size() > c->routes[b].prefix.size();
    });
  return c;
}

std::shared_ptr<Configuration const> compileConfiguration(string const& text) {
  vector<ConfigurationFault> f;
  std::shared_ptr<Configuration const> const c = readConfiguration(text, f);
  if (!f.empty()) throw Error(f[0].code, f[0].text);
  return c;
}

}  // namespace tealshelf

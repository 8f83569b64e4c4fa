#include "base/tealshelf.hpp"

#include <fstream>
#include <sstream>

namespace tealshelf {

namespace {
using Put = std::function<bool(Settings&, string const&)>;

bool toReal(string const& s, double& out) {
  char* e = nullptr;
  out = std::strtod(s.c_str(), &e);
  return !s.empty() && e && !*e && out >= 0 && out < 1e15;
}
Put whole(std::int64_t Settings::*f, std::int64_t lo, std::int64_t hi) {
  return [=](Settings& b, string const& s) {
    std::uint64_t v = 0;
    if (!readNumber(s, v) || static_cast<std::int64_t>(v) < lo || static_cast<std::int64_t>(v) > hi) return false;
    b.*f = static_cast<std::int64_t>(v);
    return true;
  };
}
Put span(std::int64_t Bounds::*f, double unit) {
  return [=](Settings& b, string const& s) {
    double v = 0;
    if (!toReal(s, v) || v * unit > 1e12) return false;
    b.bounds.*f = static_cast<std::int64_t>(v * unit);
    return true;
  };
}
Put text(string Settings::*f) {
  return [=](Settings& b, string const& s) {
    b.*f = s;
    return true;
  };
}
Put list(vector<string> Settings::*f) {
  return [=](Settings& b, string const& s) {
    b.*f = split(s, ',');
    return true;
  };
}
Put addr(Addr Settings::*f) {
  return [=](Settings& b, string const& s) { return readAddr(s, b.*f); };
}
Put flag(bool Settings::*f) {
  return [=](Settings& b, string const& s) {
    b.*f = s == "true";
    return s == "true" || s == "false";
  };
}

std::map<string, Put> const& fields() {
  static std::map<string, Put> const m = {
      {"nodeName", text(&Settings::nodeName)},
      {"role", text(&Settings::role)},
      {"machineClass", text(&Settings::machineClass)},
      {"serves", list(&Settings::serves)},
      {"ipAddress", text(&Settings::ip)},
      {"zone", text(&Settings::zone)},
      {"region", text(&Settings::region)},
      {"listenOn.outside", addr(&Settings::outside)},
      {"listenOn.readiness", addr(&Settings::readiness)},
      {"listenOn.control", addr(&Settings::control)},
      {"internalPorts",
       [](Settings& b, string const& s) {
         vector<string> const p = split(s, ',');
         std::uint64_t x = 0, y = 0;
         if (p.size() != 2 || !readNumber(p[0], x) || !readNumber(p[1], y) || !x || x + 2 > y || y > 65535)
           return false;
         b.firstPort = static_cast<int>(x);
         b.lastPort = static_cast<int>(y);
         return true;
       }},
      {"seedNodes",
       [](Settings& b, string const& s) {
         b.seeds.clear();
         for (string const& t : split(s, ',')) {
           Addr a;
           if (!readAddr(t, a)) return false;
           b.seeds.push_back(a);
         }
         return true;
       }},
      {"firstBoot", flag(&Settings::firstStart)},
      {"countsAsLoss", flag(&Settings::countsAsLoss)},
      {"limits.cpuFraction",
       [](Settings& b, string const& s) { return toReal(s, b.cpuFraction) && b.cpuFraction > 0; }},
      {"limits.cpuCores", whole(&Settings::cpuCores, 1, 4096)},
      {"limits.memoryMb", whole(&Settings::memoryMb, 1, 1 << 24)},
      {"limits.openFiles", whole(&Settings::openFiles, 64, 1 << 24)},
      {"limits.networkMbps",
       [](Settings&, string const& s) {
         double v = 0;
         return toReal(s, v);
       }},
      {"limits.diskMb", whole(&Settings::diskMb, 0, 1 << 30)},
      {"dataFolder", text(&Settings::dataFolder)},
      {"discovery", text(&Settings::discovery)},
      {"entry", text(&Settings::entry)},
      {"reportEveryMs", whole(&Settings::reportEvery, 1, 1 << 24)},
      {"rulesInForce", list(&Settings::rulesInForce)},
      {"survive.machines", whole(&Settings::surviveMachines, 0, 1000)},
      {"survive.zones", whole(&Settings::surviveZones, 0, 1000)},
      {"survive.regions", whole(&Settings::surviveRegions, 0, 1000)},
      {"bounds.seedDelayS", span(&Bounds::seedDelay, 1000)},
      {"bounds.reuseAfterS", span(&Bounds::reuseAfter, 1000)},
      {"bounds.inTouchMs", span(&Bounds::inTouch, 1)},
      {"bounds.confirmWithinMs", span(&Bounds::confirmWithin, 1)},
      {"bounds.catchUpS", span(&Bounds::catchUp, 1000)},
      {"bounds.drainMs", span(&Bounds::drain, 1)},
      {"bounds.graceS", span(&Bounds::grace, 1000)},
      {"bounds.slackMs", span(&Bounds::slack, 1)},
      {"bounds.applyWithinMs", span(&Bounds::applyWithin, 1)},
      {"bounds.revertSlackMs", span(&Bounds::revertSlack, 1)},
      {"bounds.stretchLimitMs", span(&Bounds::stretchLimit, 1)},
      {"bounds.recoverS", span(&Bounds::recover, 1000)},
      {"bounds.stepMs", span(&Bounds::step, 1)},
      {"bounds.finishWithinS", span(&Bounds::finishWithin, 1000)},
      {"bounds.statusEveryS", span(&Bounds::statusEvery, 1000)},
      {"bounds.cancelWithinMs", span(&Bounds::cancelWithin, 1)},
      {"bounds.settleWithinMs", span(&Bounds::settleWithin, 1)},
      {"bounds.quotaOverrun", [](Settings& b, string const& s) { return toReal(s, b.bounds.quotaOverrun); }},
  };
  return m;
}
}  // namespace

bool readAddr(std::string_view s, Addr& out) {
  std::size_t const c = s.rfind(':');
  if (c == string_view::npos) return false;
  std::uint64_t p = 0;
  error_code e;
  asio::ip::make_address(string(s.substr(0, c)), e);
  if (e || !readNumber(s.substr(c + 1), p) || !p || p > 65535) return false;
  out = {string(s.substr(0, c)), static_cast<int>(p)};
  return true;
}

bool Settings::servesKind(std::string_view s) const {
  return std::find(serves.begin(), serves.end(), s) != serves.end();
}

Settings readSettings(string const& text, vector<SettingsFault>& faults) {
  Settings b;
  std::istringstream in(text);
  string l;
  for (int n = 1; std::getline(in, l); ++n) {
    while (!l.empty() && (l.back() == '\r' || l.back() == ' ')) l.pop_back();
    if (l.empty() || l[0] == '#') continue;
    std::size_t const q = l.find('=');
    if (q == string::npos) {
      faults.push_back({n, "no '=' in the line"});
      continue;
    }
    string const k = l.substr(0, q), v = l.substr(q + 1);
    if (k.rfind("zones.", 0) == 0) {
      b.zones[k.substr(6)] = v;
      continue;
    }
    std::map<string, Put>::const_iterator const f = fields().find(k);
    if (f == fields().end())
      b.unknown.push_back(k);
    else if (!f->second(b, v))
      faults.push_back({n, string(k).append(" can't be ").append(v)});
  }
  if (b.nodeName.empty()) faults.push_back({0, "nodeName is missing"});
  if (b.ip.empty()) faults.push_back({0, "ipAddress is missing"});
  if (!b.firstPort) faults.push_back({0, "internalPorts is missing"});
  if (b.seeds.empty()) faults.push_back({0, "seedNodes is missing"});
  return b;
}

Settings loadSettings(string path) {
  if (path.empty()) {
    char const* p = std::getenv("TEALSHELF_BOOT");
    path = p ? p : "/etc/tealshelf/boot.conf";
  }
  std::ifstream f(path);
  if (!f) throw Error(Code::settingsMissing, path);
  std::stringstream s;
  s << f.rdbuf();
  vector<SettingsFault> faults;
  Settings b = readSettings(s.str(), faults);
  if (!faults.empty())
    throw Error(Code::settingsInvalid, "line " + std::to_string(faults[0].line) + ": " + faults[0].text);
  b.path = path;
  return b;
}

}  // namespace tealshelf

#include "base/tealshelf.hpp"

#include <fstream>
#include <sstream>

namespace tealshelf {

namespace {
constexpr char const* pathVariable = "TEALSHELF_BOOT";
constexpr char const* defaultPath = "/etc/tealshelf/boot.conf";
constexpr std::uint64_t maxPort = 65535;
/// The control, store and relay servers use one internal port each.
constexpr std::uint64_t internalServers = 3;
constexpr double maxSettingNumber = 1e15;
constexpr double maxSettingMs = 1e12;
constexpr std::int64_t maxCount = 1 << 24;
constexpr std::int64_t maxLosses = 1000;

/// Parses the value of one field; false if it is invalid.
using FieldParser = std::function<bool(Settings&, string const& value)>;

std::optional<double> parseReal(string const& text) {
  char* end = nullptr;
  double const value = std::strtod(text.c_str(), &end);
  bool const whole = !text.empty() && end && !*end;
  if (!whole || !(value >= 0 && value < maxSettingNumber)) return std::nullopt;
  return value;
}

FieldParser textField(string Settings::*field) {
  return [field](Settings& settings, string const& value) {
    settings.*field = value;
    return true;
  };
}

FieldParser listField(vector<string> Settings::*field) {
  return [field](Settings& settings, string const& value) {
    settings.*field = split(value, ',');
    return true;
  };
}

FieldParser numberField(std::int64_t Settings::*field, std::int64_t minimum, std::int64_t maximum) {
  return [field, minimum, maximum](Settings& settings, string const& value) {
    std::optional<std::uint64_t> const parsed = parseNumber(value);
    if (!parsed) return false;
    std::int64_t const number = static_cast<std::int64_t>(*parsed);
    if (number < minimum || number > maximum) return false;
    settings.*field = number;
    return true;
  };
}

FieldParser flagField(bool Settings::*field) {
  return [field](Settings& settings, string const& value) {
    settings.*field = value == "true";
    return value == "true" || value == "false";
  };
}

FieldParser addressField(Address Settings::*field) {
  return [field](Settings& settings, string const& value) {
    std::optional<Address> const address = parseAddress(value);
    if (address) settings.*field = *address;
    return address.has_value();
  };
}

FieldParser boundField(Ms Bounds::*field, Ms unit) {
  return [field, unit](Settings& settings, string const& value) {
    std::optional<double> const count = parseReal(value);
    double const unitMs = static_cast<double>(unit.count());
    if (!count || *count * unitMs > maxSettingMs) return false;
    settings.bounds.*field = Ms(static_cast<std::int64_t>(*count * unitMs));
    return true;
  };
}

FieldParser realBoundField(double Bounds::*field) {
  return [field](Settings& settings, string const& value) {
    std::optional<double> const real = parseReal(value);
    if (real) settings.bounds.*field = *real;
    return real.has_value();
  };
}

bool parseInternalPorts(Settings& settings, string const& value) {
  vector<string> const parts = split(value, ',');
  if (parts.size() != 2) return false;
  std::optional<std::uint64_t> const first = parseNumber(parts[0]);
  std::optional<std::uint64_t> const last = parseNumber(parts[1]);
  if (!first || !last || !*first || *first + internalServers - 1 > *last || *last > maxPort) return false;
  settings.firstInternalPort = static_cast<int>(*first);
  settings.lastInternalPort = static_cast<int>(*last);
  return true;
}

bool parseSeeds(Settings& settings, string const& value) {
  settings.seeds.clear();
  for (string const& part : split(value, ',')) {
    std::optional<Address> const address = parseAddress(part);
    if (!address) return false;
    settings.seeds.push_back(*address);
  }
  return true;
}

bool parseReportEvery(Settings& settings, string const& value) {
  std::optional<std::uint64_t> const milliseconds = parseNumber(value);
  if (!milliseconds || *milliseconds < 1 || *milliseconds > static_cast<std::uint64_t>(maxCount)) return false;
  settings.reportEvery = Ms(static_cast<std::int64_t>(*milliseconds));
  return true;
}

std::map<string, FieldParser> const& fieldParsers() {
  constexpr Ms second{1000}, millisecond{1};
  static std::map<string, FieldParser> const parsers = {
      {"nodeName", textField(&Settings::nodeName)},
      {"role", textField(&Settings::role)},
      {"machineClass", textField(&Settings::machineClass)},
      {"serves", listField(&Settings::serves)},
      {"ipAddress", textField(&Settings::ip)},
      {"zone", textField(&Settings::zone)},
      {"region", textField(&Settings::region)},
      {"listenOn.outside", addressField(&Settings::outside)},
      {"listenOn.readiness", addressField(&Settings::readiness)},
      {"listenOn.control", addressField(&Settings::control)},
      {"internalPorts", parseInternalPorts},
      {"seedNodes", parseSeeds},
      {"firstBoot", flagField(&Settings::firstBoot)},
      {"countsAsLoss", flagField(&Settings::countsAsLoss)},
      {"limits.cpuFraction",
       [](Settings& settings, string const& value) {
         std::optional<double> const fraction = parseReal(value);
         if (fraction) settings.cpuFraction = *fraction;
         return fraction && *fraction > 0;
       }},
      {"limits.cpuCores", numberField(&Settings::cpuCores, 1, 4096)},
      {"limits.memoryMb", numberField(&Settings::memoryMb, 1, maxCount)},
      {"limits.openFiles", numberField(&Settings::openFiles, 64, maxCount)},
      {"limits.networkMbps", [](Settings&, string const& value) { return parseReal(value).has_value(); }},
      {"limits.diskMb", numberField(&Settings::diskMb, 0, 1 << 30)},
      {"dataFolder", textField(&Settings::dataFolder)},
      {"discovery", textField(&Settings::discovery)},
      {"entry", textField(&Settings::entry)},
      {"reportEveryMs", parseReportEvery},
      {"rulesInForce", listField(&Settings::rulesInForce)},
      {"survive.machines", numberField(&Settings::surviveMachines, 0, maxLosses)},
      {"survive.zones", numberField(&Settings::surviveZones, 0, maxLosses)},
      {"survive.regions", numberField(&Settings::surviveRegions, 0, maxLosses)},
      {"bounds.seedDelayS", boundField(&Bounds::seedDelay, second)},
      {"bounds.reuseAfterS", boundField(&Bounds::reuseAfter, second)},
      {"bounds.inTouchMs", boundField(&Bounds::inTouch, millisecond)},
      {"bounds.confirmWithinMs", boundField(&Bounds::confirmWithin, millisecond)},
      {"bounds.catchUpS", boundField(&Bounds::catchUp, second)},
      {"bounds.drainMs", boundField(&Bounds::drain, millisecond)},
      {"bounds.graceS", boundField(&Bounds::grace, second)},
      {"bounds.slackMs", boundField(&Bounds::slack, millisecond)},
      {"bounds.applyWithinMs", boundField(&Bounds::applyWithin, millisecond)},
      {"bounds.revertSlackMs", boundField(&Bounds::revertSlack, millisecond)},
      {"bounds.stretchLimitMs", boundField(&Bounds::stretchLimit, millisecond)},
      {"bounds.recoverS", boundField(&Bounds::recover, second)},
      {"bounds.stepMs", boundField(&Bounds::step, millisecond)},
      {"bounds.finishWithinS", boundField(&Bounds::finishWithin, second)},
      {"bounds.statusEveryS", boundField(&Bounds::statusEvery, second)},
      {"bounds.cancelWithinMs", boundField(&Bounds::cancelWithin, millisecond)},
      {"bounds.settleWithinMs", boundField(&Bounds::settleWithin, millisecond)},
      {"bounds.revokeWithinMs", boundField(&Bounds::revokeWithin, millisecond)},
      {"bounds.quotaWindowS", boundField(&Bounds::quotaWindow, second)},
      {"bounds.quotaOverrun", realBoundField(&Bounds::quotaOverrun)},
      {"bounds.quotaMargin", realBoundField(&Bounds::quotaMargin)},
      {"bounds.exposureFraction", realBoundField(&Bounds::exposureFraction)},
      {"bounds.exposureMargin", realBoundField(&Bounds::exposureMargin)},
      {"bounds.warmUpOverrun", realBoundField(&Bounds::warmUpOverrun)},
      {"bounds.warmUpMargin", realBoundField(&Bounds::warmUpMargin)},
      {"bounds.mergeMs", boundField(&Bounds::merge, millisecond)},
      {"bounds.evacuateWithinMs", boundField(&Bounds::evacuateWithin, millisecond)},
      {"bounds.revertWithinMs", boundField(&Bounds::revertWithin, millisecond)},
      {"bounds.leaseMs", boundField(&Bounds::lease, millisecond)},
      {"bounds.unfreezeSlackMs", boundField(&Bounds::unfreezeSlack, millisecond)},
      {"bounds.reportWindowS", boundField(&Bounds::reportWindow, second)},
      {"bounds.usageError", realBoundField(&Bounds::usageError)},
      {"bounds.usageDelayS", boundField(&Bounds::usageDelay, second)},
      {"bounds.checksFences",
       [](Settings& settings, string const& value) {
         settings.provider.checksFences = value == "true";
         return value == "true" || value == "false";
       }},
      {"providerApi.address",
       [](Settings& settings, string const& value) {
         std::optional<Address> const address = parseAddress(value);
         if (address) settings.provider.address = *address;
         return address.has_value();
       }},
      {"providerApi.dutiesPerS",
       [](Settings& settings, string const& value) {
         std::optional<double> const rate = parseReal(value);
         if (rate) settings.provider.dutiesPerSecond = *rate;
         return rate && *rate > 0;
       }},
      {"providerApi.duties",
       [](Settings& settings, string const& value) {
         settings.provider.duties = split(value, ',');
         return true;
       }},
      {"bounds.failClosed",
       [](Settings& settings, string const& value) {
         settings.bounds.failClosed = value == "true";
         return value == "true" || value == "false";
       }},
  };
  return parsers;
}

/// Parses one line; returns what is wrong with it, or nullopt.
std::optional<string> readLine(Settings& settings, string const& line) {
  static string const zonePrefix = "zones.";
  std::size_t const equals = line.find('=');
  if (equals == string::npos) return "expected FIELD=VALUE, but the line has no '='";
  string const field = line.substr(0, equals), value = line.substr(equals + 1);
  if (field.starts_with(zonePrefix)) {
    settings.zones[field.substr(zonePrefix.size())] = value;
    return std::nullopt;
  }
  auto const parser = fieldParsers().find(field);
  if (parser == fieldParsers().end()) {
    settings.unknownFields.push_back(field);
    return std::nullopt;
  }
  // An empty value counts as missing: the field may belong to a feature that this deployment doesn't use.
  if (value.empty() || parser->second(settings, value)) return std::nullopt;
  return field + " has the invalid value " + value;
}
}  // namespace

std::optional<Address> parseAddress(std::string_view text) {
  std::size_t const colon = text.rfind(':');
  if (colon == string_view::npos) return std::nullopt;
  string const ip(text.substr(0, colon));
  error_code error;
  asio::ip::make_address(ip, error);
  std::optional<std::uint64_t> const port = parseNumber(text.substr(colon + 1));
  if (error || !port || !*port || *port > maxPort) return std::nullopt;
  return Address{ip, static_cast<int>(*port)};
}

vector<string> Settings::infeasibleBounds() const {
  vector<string> descriptions;
  if (bounds.evacuateWithin < bounds.applyWithin)
    descriptions.emplace_back(
        "bounds.evacuateWithinMs is less than bounds.applyWithinMs, the time until a change reaches all nodes");
  // Heartbeats detect the end of a partition within 3/8 of inTouch, and additions may be relayed by a third node.
  if (bounds.merge < bounds.inTouch / 2)
    descriptions.emplace_back("bounds.mergeMs is less than half of bounds.inTouchMs, the time until tallies converge");
  // Evidence counts as recent for half of inTouch; then the decision must reach all nodes.
  if (bounds.revertWithin < bounds.applyWithin + bounds.inTouch / 2)
    descriptions.emplace_back("bounds.revertWithinMs is less than bounds.applyWithinMs plus half of bounds.inTouchMs");
  return descriptions;
}

bool Settings::isServing(std::string_view kind) const {
  return std::find(serves.begin(), serves.end(), kind) != serves.end();
}

bool Settings::isRuleInForce(std::string_view rule) const {
  return std::find(rulesInForce.begin(), rulesInForce.end(), rule) != rulesInForce.end();
}

Settings readSettings(string const& text, vector<SettingsError>& errors) {
  Settings settings;
  std::istringstream input(text);
  string line;
  for (int number = 1; std::getline(input, line); ++number) {
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.pop_back();
    if (line.empty() || line[0] == '#') continue;
    if (std::optional<string> const error = readLine(settings, line)) errors.push_back({number, *error});
  }
  if (settings.nodeName.empty()) errors.push_back({0, "nodeName is missing"});
  if (settings.ip.empty()) errors.push_back({0, "ipAddress is missing"});
  if (!settings.firstInternalPort) errors.push_back({0, "internalPorts is missing"});
  if (settings.seeds.empty()) errors.push_back({0, "seedNodes is missing"});
  return settings;
}

Settings loadSettings(string path) {
  if (path.empty()) {
    char const* const named = std::getenv(pathVariable);
    path = named ? named : defaultPath;
  }
  std::ifstream file(path);
  if (!file) throw Error(ErrorCode::settingsMissing, path);
  std::stringstream text;
  text << file.rdbuf();
  vector<SettingsError> errors;
  Settings settings = readSettings(text.str(), errors);
  if (!errors.empty())
    throw Error(ErrorCode::settingsInvalid, "line " + std::to_string(errors[0].line) + ": " + errors[0].text);
  settings.path = path;
  return settings;
}

}  // namespace tealshelf

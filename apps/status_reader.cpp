#include "apps/status_reader.hpp"

#include "apps/exit_codes.hpp"
#include "base/settings.hpp"
#include "traffic/prefix_report.hpp"
#include "wire/metrics_server.hpp"

#include <rapidjson/document.h>

#include <iomanip>
#include <iostream>
#include <sstream>

namespace tealshelf {

namespace {
constexpr Ms responseTimeout{5000};
constexpr std::uint64_t maxAnswerBytes = 64u << 20;

/// Gets a page over HTTP; throws ErrorCode::notConnected if there is no response with status 200 in time.
string getPage(Address const& from, string const& path) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  http::response_parser<http::string_body> parser;
  parser.body_limit(maxAnswerBytes);
  bool done = false;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        stream.expires_after(responseTimeout);
        co_await stream.async_connect(endpointOf(from), asio::use_awaitable);
        http::request<http::empty_body> request(http::verb::get, path, 11);
        request.set(http::field::host, from.ip);
        co_await http::async_write(stream, request, asio::use_awaitable);
        beast::flat_buffer buffer;
        co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
        done = true;
      },
      [](std::exception_ptr) {});
  io.run();
  if (!done || parser.get().result() != http::status::ok) throw Error(ErrorCode::notConnected, from.text() + path);
  return std::move(parser.get().body());
}

/// A table printed with aligned columns.
class Table {
 public:
  explicit Table(vector<string> head) { add(std::move(head)); }
  void add(vector<string> row) { rows_.push_back(std::move(row)); }
  string text() const {
    vector<std::size_t> widths;
    for (vector<string> const& row : rows_)
      for (std::size_t column = 0; column < row.size(); ++column) {
        if (widths.size() <= column) widths.push_back(0);
        widths[column] = std::max(widths[column], row[column].size());
      }
    std::ostringstream out;
    for (vector<string> const& row : rows_) {
      for (std::size_t column = 0; column < row.size(); ++column) {
        bool const isLast = column + 1 == row.size();
        if (isLast)
          out << row[column];
        else
          out << std::left << std::setw(static_cast<int>(widths[column] + 2)) << row[column];
      }
      out << "\n";
    }
    return out.str();
  }

 private:
  vector<vector<string>> rows_;
};

string rounded(double number) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << number;
  return out.str();
}

rapidjson::Document parseReport(string const& json) {
  rapidjson::Document report;
  report.Parse(json.data(), json.size());
  if (report.HasParseError() || !report.IsArray()) throw Error(ErrorCode::badMessage, "the report isn't a JSON array");
  return report;
}

string textIn(rapidjson::Value const& object, char const* name) {
  if (!object.IsObject() || !object.HasMember(name) || !object[name].IsString()) return "";
  return string(object[name].GetString(), object[name].GetStringLength());
}

double numberIn(rapidjson::Value const& object, char const* name) {
  bool const isNumber = object.IsObject() && object.HasMember(name) && object[name].IsNumber();
  return isNumber ? object[name].GetDouble() : 0;
}

/// The elements of an array; none if there is no such array.
vector<rapidjson::Value const*> elementsIn(rapidjson::Value const& object, char const* name) {
  vector<rapidjson::Value const*> elements;
  if (!object.IsObject() || !object.HasMember(name) || !object[name].IsArray()) return elements;
  for (rapidjson::Value const& element : object[name].GetArray()) elements.push_back(&element);
  return elements;
}

string wholeNumber(double number) {
  return std::to_string(static_cast<std::uint64_t>(std::max(0.0, number)));
}

/// Runs a command and prints its result; an error is printed as one line and becomes an exit status.
void runCommand(std::function<string()> const& command) {
  try {
    std::cout << command();
  } catch (Error const& error) {
    std::cerr << error.what() << "\n";
    throw CLI::RuntimeError(error.code() == ErrorCode::badArguments ? exitBadArguments : exitFailure);
  }
}
}  // namespace

Address addressArgument(string const& text) {
  std::optional<Address> address = parseAddress(text);
  if (!address) throw Error(ErrorCode::badArguments, "expected IP:PORT, found " + text);
  return std::move(*address);
}

vector<MetricSample> parseSamples(string const& metricsText, string const& name) {
  vector<MetricSample> samples;
  std::istringstream lines(metricsText);
  string line;
  while (std::getline(lines, line)) {
    if (!line.starts_with(name + "{")) continue;
    std::size_t const end = line.rfind('}');
    if (end == string::npos) continue;
    MetricSample sample;
    for (string const& label : split(line.substr(name.size() + 1, end - name.size() - 1), ',')) {
      std::size_t const equals = label.find("=\"");
      if (equals != string::npos && label.ends_with('"'))
        sample.labels[label.substr(0, equals)] = label.substr(equals + 2, label.size() - equals - 3);
    }
    sample.value = std::strtod(line.c_str() + end + 1, nullptr);
    samples.push_back(std::move(sample));
  }
  return samples;
}

string trafficTable(string const& metricsText) {
  vector<MetricSample> bytes = parseSamples(metricsText, "tealshelf_rpc_bytes_total");
  std::map<std::map<string, string>, double> messages;
  for (MetricSample const& sample : parseSamples(metricsText, "tealshelf_rpc_messages_total"))
    messages[sample.labels] = sample.value;
  std::sort(bytes.begin(), bytes.end(),
            [](MetricSample const& left, MetricSample const& right) { return left.value > right.value; });
  Table table({"direction", "kind", "peer zone", "messages", "bytes"});
  for (MetricSample& sample : bytes)
    table.add({sample.labels["direction"], sample.labels["kind"], sample.labels["peer_zone"],
               wholeNumber(messages[sample.labels]), wholeNumber(sample.value)});
  return table.text();
}

string prefixTable(string const& reportJson) {
  rapidjson::Document const report = parseReport(reportJson);
  Table table({"prefix", "tokens", "keeper", "keeper zone", "site", "kept here", "carried", "computed here",
               "computed elsewhere", "first output ms"});
  for (rapidjson::Value const& prefix : report.GetArray())
    for (rapidjson::Value const* const site : elementsIn(prefix, "sites")) {
      vector<string> row = {textIn(prefix, "prefix"), wholeNumber(numberIn(prefix, "tokens")), textIn(prefix, "keeper"),
                            textIn(prefix, "keeperZone"), textIn(*site, "zone")};
      for (std::size_t choice = 0; choice < prefixChoices; ++choice)
        row.push_back(wholeNumber(numberIn(*site, nameOf(static_cast<PrefixChoice>(choice)).data())));
      row.push_back(rounded(numberIn(*site, "firstOutputMs")));
      table.add(std::move(row));
    }
  return table.text();
}

string prefixChoicesTable(string const& reportJson, string const& prefix) {
  rapidjson::Document const report = parseReport(reportJson);
  for (rapidjson::Value const& candidate : report.GetArray()) {
    if (textIn(candidate, "prefix") != prefix) continue;
    Table table({"choice", "reason", "worker", "site", "cost at keeper", "cost there", "first output ms"});
    for (rapidjson::Value const* const choice : elementsIn(candidate, "last"))
      table.add({textIn(*choice, "choice"), textIn(*choice, "reason"), textIn(*choice, "worker"),
                 textIn(*choice, "zone"), rounded(numberIn(*choice, "keeperCost")),
                 rounded(numberIn(*choice, "chosenCost")), wholeNumber(numberIn(*choice, "firstOutputMs"))});
    return table.text();
  }
  throw Error(ErrorCode::badArguments, "the report has no prefix " + prefix);
}

string rolloutTable(string const& reportJson) {
  rapidjson::Document const report = parseReport(reportJson);
  Table table({"service", "target", "state", "stage", "share", "elapsed s", "term s", "to target", "in all",
               "unconfirmed", "reason"});
  for (rapidjson::Value const& rollout : report.GetArray())
    table.add({textIn(rollout, "service"), textIn(rollout, "targetVersion"), textIn(rollout, "state"),
               wholeNumber(numberIn(rollout, "stage")), rounded(numberIn(rollout, "shareInThousandths") / 10) + " %",
               rounded(numberIn(rollout, "elapsedMs") / 1000), rounded(numberIn(rollout, "termMs") / 1000),
               wholeNumber(numberIn(rollout, "sentToTarget")), wholeNumber(numberIn(rollout, "sentInAll")),
               std::to_string(elementsIn(rollout, "unconfirmed").size()), textIn(rollout, "reason")});
  return table.text();
}

string tenantTable(vector<string> const& reportsJson) {
  struct Usage {
    double rate = 0, burst = 0, left = 0, granted = 0, refused = 0;
    std::size_t shards = 0;
  };
  std::map<string, Usage> usages;
  for (string const& json : reportsJson) {
    rapidjson::Document const report = parseReport(json);
    for (rapidjson::Value const& tenant : report.GetArray()) {
      Usage& usage = usages[textIn(tenant, "tenant")];
      usage.rate += numberIn(tenant, "ratePerS");
      usage.burst += numberIn(tenant, "burst");
      usage.left += numberIn(tenant, "tokensLeft");
      usage.granted += numberIn(tenant, "granted");
      usage.refused += numberIn(tenant, "refused");
      ++usage.shards;
    }
  }
  vector<std::pair<string, Usage>> rows(usages.begin(), usages.end());
  std::stable_sort(rows.begin(), rows.end(),
                   [](auto const& left, auto const& right) { return left.second.refused > right.second.refused; });
  Table table({"tenant", "shards", "rate/s", "burst", "left", "granted", "refused"});
  for (auto const& [name, usage] : rows)
    table.add({name, std::to_string(usage.shards), rounded(usage.rate), rounded(usage.burst), rounded(usage.left),
               wholeNumber(usage.granted), wholeNumber(usage.refused)});
  return table.text();
}

namespace {
rapidjson::Document parseObject(string const& json, char const* name) {
  rapidjson::Document report;
  report.Parse(json.data(), json.size());
  if (report.HasParseError() || !report.IsObject())
    throw Error(ErrorCode::badMessage, string(name) + " isn't a JSON object");
  return report;
}

/// Adds a command that prints one status page of several control nodes as a table made by `tableOf`.
void addPageCommand(CLI::App& app, string const& name, string const& help, string_view page,
                    string (*tableOf)(vector<string> const&)) {
  CLI::App* const command = app.add_subcommand(name, help);
  std::shared_ptr<vector<string>> const nodes = std::make_shared<vector<string>>();
  command->add_option("--at", *nodes, "IP:PORT of each control node's metrics server")->required();
  command->callback([nodes, page, tableOf] {
    runCommand([nodes, page, tableOf] {
      vector<string> reports;
      for (string const& at : *nodes) reports.push_back(getPage(addressArgument(at), string(page)));
      return tableOf(reports);
    });
  });
}
}  // namespace

string waitingLotTable(vector<string> const& reportsJson) {
  Table table({"lot", "owner", "need", "last try", "tries", "waits s", "seen"});
  for (string const& json : reportsJson) {
    rapidjson::Document const report = parseObject(json, "the report of waiting lots");
    for (rapidjson::Value const* const lot : elementsIn(report, "lots"))
      table.add({textIn(*lot, "lot"), textIn(report, "node"), textIn(*lot, "need"), textIn(*lot, "outcome"),
                 wholeNumber(numberIn(*lot, "tries")), rounded(numberIn(*lot, "waitsMs") / 1000),
                 textIn(*lot, "finding")});
  }
  return table.text();
}

string tallyTable(vector<string> const& reportsJson) {
  vector<string> head{"tally", "agree"};
  std::map<string, vector<string>> totals;
  for (std::size_t node = 0; node < reportsJson.size(); ++node) {
    rapidjson::Document const report = parseObject(reportsJson[node], "the report of tallies");
    head.push_back(textIn(report, "node"));
    for (rapidjson::Value const* const tally : elementsIn(report, "tallies")) {
      vector<string>& row = totals[textIn(*tally, "tally")];
      row.resize(reportsJson.size(), "0");
      row[node] = textIn(*tally, "total");
    }
  }
  Table table(std::move(head));
  for (bool const agree : {false, true})
    for (auto const& [tally, row] : totals) {
      bool const isSame = std::all_of(row.begin(), row.end(), [&row](string const& total) { return total == row[0]; });
      if (isSame != agree) continue;
      vector<string> cells{tally, agree ? "yes" : "no"};
      cells.insert(cells.end(), row.begin(), row.end());
      table.add(std::move(cells));
    }
  return table.text();
}

string dutyTable(vector<string> const& reportsJson) {
  Table table({"node", "holder", "fence", "may act", "platform silent s", "window", "closed through", "unsent",
               "last answer", "waits for"});
  for (string const& json : reportsJson) {
    rapidjson::Document const report = parseObject(json, "the report of duties");
    auto const usage = report.FindMember("usage");
    if (usage == report.MemberEnd() || !usage->value.IsObject())
      throw Error(ErrorCode::badMessage, "the report of duties has no object usage");
    vector<rapidjson::Value const*> const unfinished = elementsIn(usage->value, "waitsFor");
    string waitsFor = std::to_string(unfinished.size());
    if (!unfinished.empty() && unfinished.front()->IsString())
      waitsFor += ", first " + string(unfinished.front()->GetString());
    table.add({textIn(report, "node"), textIn(report, "holder"), wholeNumber(numberIn(report, "fence")),
               textIn(report, "mayAct"), rounded(numberIn(report, "platformSilenceS")),
               wholeNumber(numberIn(usage->value, "presentWindow")),
               wholeNumber(numberIn(usage->value, "closedThrough")), wholeNumber(numberIn(usage->value, "unsent")),
               textIn(usage->value, "lastAnswer"), waitsFor});
  }
  return table.text();
}

string capacityTable(vector<string> const& reportsJson) {
  Table table({"node", "service", "zone", "lowest", "highest", "present", "ordered", "would order", "in flight",
               "backlog", "peak", "reason"});
  for (string const& json : reportsJson) {
    rapidjson::Document const report = parseObject(json, "the report of duties");
    for (rapidjson::Value const* const service : elementsIn(report, "capacity"))
      for (rapidjson::Value const* const zone : elementsIn(*service, "zones"))
        table.add({textIn(report, "node"), textIn(*service, "service"), textIn(*zone, "zone"),
                   wholeNumber(numberIn(*service, "lowest")), wholeNumber(numberIn(*service, "highest")),
                   wholeNumber(numberIn(*zone, "present")), wholeNumber(numberIn(*zone, "ordered")),
                   wholeNumber(numberIn(*zone, "wouldOrder")), rounded(numberIn(*service, "inFlight")),
                   rounded(numberIn(*service, "backlog")), rounded(numberIn(*service, "peakDemand")),
                   textIn(*service, "reason")});
  }
  return table.text();
}

void addStatusCommands(CLI::App& app) {
  struct Options {
    string at, why;
    bool json = false;
  };
  std::shared_ptr<Options> const options = std::make_shared<Options>();
  char const* const atHelp = "IP:PORT of the process's metrics server";
  CLI::App* const traffic = app.add_subcommand("traffic", "print the RPC traffic of a process, sorted by bytes");
  traffic->add_option("--at", options->at, atHelp)->required();
  traffic->callback([options] {
    runCommand([options] { return trafficTable(getPage(addressArgument(options->at), string(metricsPath))); });
  });
  CLI::App* const prefixes =
      app.add_subcommand("prefixes", "print how an edge node placed requests with shared prefixes");
  prefixes->add_option("--at", options->at, atHelp)->required();
  CLI::Option* const json = prefixes->add_flag("--json", options->json, "print the report as JSON");
  prefixes->add_option("--why", options->why, "print the last placements of one prefix and their reasons")
      ->excludes(json);
  prefixes->callback([options] {
    runCommand([options] {
      string const report = getPage(addressArgument(options->at), string(prefixesPath));
      if (options->json) return report + "\n";
      return options->why.empty() ? prefixTable(report) : prefixChoicesTable(report, options->why);
    });
  });
  CLI::App* const rollouts =
      app.add_subcommand("rollouts", "print the rollouts of services, as one control node sees them");
  rollouts->add_option("--at", options->at, atHelp)->required();
  rollouts->add_flag("--json", options->json, "print the report as JSON");
  rollouts->callback([options] {
    runCommand([options] {
      string const report = getPage(addressArgument(options->at), string(rolloutsPage));
      return options->json ? report + "\n" : rolloutTable(report);
    });
  });
  addPageCommand(app, "tenants", "print the quotas that control nodes granted to tenants, in total", tenantsPage,
                 tenantTable);
  addPageCommand(app, "tallies", "print the total of each tally at each control node", talliesPage, tallyTable);
  addPageCommand(app, "duties", "print the holder of the duties at the platform and the progress of usage reports",
                 dutiesPage, dutyTable);
  addPageCommand(app, "capacity",
                 "print the number of workers that would be ordered for each service, and why; orders nothing",
                 dutiesPage, capacityTable);
  addPageCommand(app, "lots", "print the lots whose recovery is waiting, and why", lotsPage, waitingLotTable);
}

}  // namespace tealshelf

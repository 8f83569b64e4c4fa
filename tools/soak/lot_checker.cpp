#include "tools/soak/lot_checker.hpp"

#include "tools/soak/configurations.hpp"

#include <rapidjson/document.h>

namespace tealshelf::soak {

namespace {
string const finishedState = "finished", givenUpState = "given_up";

string textOf(rapidjson::Value const& object, char const* name) {
  bool const valid = object.HasMember(name) && object[name].IsString();
  return valid ? string(object[name].GetString(), object[name].GetStringLength()) : "";
}
}  // namespace

bool Lot::hasWorkers() const {
  return pathStart == lotPathStart;
}

std::optional<LotPage> readLotPage(string const& body) {
  rapidjson::Document document;
  document.Parse(body.data(), body.size());
  bool const valid = !document.HasParseError() && document.IsObject() && document.HasMember("total") &&
                     document["total"].IsUint64() && document.HasMember("nextToken") &&
                     document["nextToken"].IsUint64() && document.HasMember("outputs") && document["outputs"].IsArray();
  if (!valid) return std::nullopt;
  LotPage page;
  page.total = document["total"].GetUint64();
  page.next = document["nextToken"].GetUint64();
  for (rapidjson::Value const& output : document["outputs"].GetArray()) {
    if (!output.IsObject()) return std::nullopt;
    page.outputs.push_back({textOf(output, "serverId"), textOf(output, "state"), textOf(output, "message")});
  }
  return page;
}

string encodeBase64(string_view bytes) {
  constexpr string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string text;
  for (std::size_t offset = 0; offset < bytes.size(); offset += 3) {
    std::size_t const group = std::min<std::size_t>(3, bytes.size() - offset);
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < 3; ++i)
      bits = (bits << 8) | (i < group ? static_cast<unsigned char>(bytes[offset + i]) : 0u);
    for (std::size_t i = 0; i < 4; ++i) text += i <= group ? digits[(bits >> (18 - 6 * i)) & 63] : '=';
  }
  return text;
}

Lot& LotChecker::add(std::unique_ptr<Lot> lot) {
  lots_.push_back(std::move(lot));
  return *lots_.back();
}

vector<Lot*> LotChecker::accepted() const {
  vector<Lot*> found;
  for (std::unique_ptr<Lot> const& lot : lots_)
    if (lot->state == Lot::State::accepted) found.push_back(lot.get());
  return found;
}

std::size_t LotChecker::countOf(Lot::State state) const {
  return static_cast<std::size_t>(std::count_if(
      lots_.begin(), lots_.end(), [state](std::unique_ptr<Lot> const& lot) { return lot->state == state; }));
}

void LotChecker::noteAccepted(Lot& lot) {
  if (lot.state == Lot::State::accepted) return;
  lot.state = Lot::State::accepted;
  lot.acceptedAt = Clock::now();
  verdict_.count("lots accepted");
  verdict_.trace("lot " + lot.id + " of " + lot.host + lot.pathStart + " accepted");
}

void LotChecker::noteRefused(Lot& lot) {
  lot.state = Lot::State::refused;
  for (string const& item : lot.items) ledger_.notePromiseNotRun(ledger_.at(item), "the refusal of its lot");
}

void LotChecker::fail(Lot& lot, string_view rule, string const& text, string const& key) {
  if (!lot.reportedFailures.insert(string(rule) + key).second) return;
  verdict_.fail(rule, "lot " + lot.id + " (" + lot.host + lot.pathStart + "): " + text);
}

void LotChecker::checkRead(Lot& lot, std::uint64_t from, HttpAnswer const& answer, string const& edgeName) {
  if (answer.garbled)
    fail(lot, "MIXED", edgeName + " sent bytes that aren't an HTTP response: " + answer.failure, edgeName);
  if (!answer.complete) return;
  verdict_.count("lot reads " + std::to_string(answer.status));
  bool const settled = lot.state == Lot::State::accepted && answer.sentAt > lot.acceptedAt + bounds_.settleWithin;
  bool const unknown = answer.status == 404 || answer.status == 410;
  if (unknown && settled) fail(lot, "LOST", edgeName + " doesn't know it: " + answer.describe(), edgeName);
  if (answer.status != 200) return;
  std::optional<LotPage> const page = readLotPage(answer.body);
  if (!page) return fail(lot, "MIXED", edgeName + " returned a malformed page: " + answer.describe(), edgeName);
  if (page->total != lot.items.size())
    fail(
        lot, "MIXED",
        edgeName + " returned total " + std::to_string(page->total) + " instead of " + std::to_string(lot.items.size()),
        edgeName);
  if (page->next != from + page->outputs.size())
    fail(lot, "MIXED",
         edgeName + " returned nextToken " + std::to_string(page->next) + " instead of " +
             std::to_string(from + page->outputs.size()),
         edgeName);
  bool const wasListed = from < lot.seen.size() && answer.sentAt > lot.seen[from].seenAt + bounds_.settleWithin;
  if (wasListed && page->outputs.empty())
    fail(lot, "LOST", edgeName + " returned no result at position " + std::to_string(from) + ", which was read before",
         edgeName);
  for (std::size_t i = 0; i < page->outputs.size(); ++i) checkOutput(lot, from + i, page->outputs[i], edgeName);
}

void LotChecker::checkOutput(Lot& lot, std::uint64_t position, LotPage::Output const& output, string const& edgeName) {
  if (!lot.itemSet.contains(output.item))
    return fail(lot, "MIXED", edgeName + " lists " + output.item + ", which isn't an item of this lot", edgeName);
  checkContent(lot, output, edgeName);
  if (position == lot.seen.size()) return noteNewResult(lot, output, edgeName);
  if (position > lot.seen.size()) return;
  Lot::SeenResult const& seen = lot.seen[position];
  bool const same = seen.item == output.item && seen.state == output.state && seen.textHash == hash64(output.text);
  if (!same)
    fail(lot, "TWICE",
         edgeName + " returned " + output.item + " " + output.state + " at position " + std::to_string(position) +
             ", where " + seen.item + " " + seen.state + " was read before",
         edgeName);
}

void LotChecker::noteNewResult(Lot& lot, LotPage::Output const& output, string const& edgeName) {
  auto const [known, added] = lot.positions.emplace(output.item, lot.seen.size());
  if (!added)
    fail(lot, "TWICE",
         edgeName + " lists " + output.item + " at positions " + std::to_string(known->second) + " and " +
             std::to_string(lot.seen.size()),
         edgeName);
  lot.seen.push_back({output.item, output.state, hash64(output.text), Clock::now()});
  verdict_.count("results listed");
}

void LotChecker::checkContent(Lot& lot, LotPage::Output const& output, string const& edgeName) {
  TrackedRequest const& item = ledger_.at(output.item);
  if (output.state == finishedState) {
    if (item.verdict != WorkerVerdict::completes || output.text != item.resultText())
      fail(lot, "MIXED", edgeName + " lists " + output.item + " as finished with an unexpected text", output.item);
    return;
  }
  bool const allowed = lot.endRequested || item.verdict != WorkerVerdict::completes;
  if (output.state != givenUpState || !allowed)
    fail(lot, "MIXED", edgeName + " lists " + output.item + " in the unexpected state " + output.state, output.item);
}

bool LotChecker::checkItem(Lot& lot, string const& item, HttpAnswer const& answer, string const& edgeName) {
  if (!answer.complete) return false;
  verdict_.count("item reads " + std::to_string(answer.status));
  if (answer.status == 200 && answer.body != ledger_.at(item).body)
    fail(lot, "MIXED", edgeName + " returned a wrong body for " + item, item);
  bool const settled = answer.sentAt > lot.acceptedAt + bounds_.settleWithin;
  return answer.status == 404 && settled && !lot.endRequested;
}

void LotChecker::failMissingItem(Lot& lot, string const& item, string const& edgeName) {
  if (lot.positions.contains(item)) return;
  fail(lot, "LOST", edgeName + " has no body for " + item + ", whose result isn't listed", item);
}

}  // namespace tealshelf::soak

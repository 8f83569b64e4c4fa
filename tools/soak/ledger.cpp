#include "tools/soak/ledger.hpp"

namespace tealshelf::soak {

namespace {
constexpr std::size_t eventFiller = 60;
}  // namespace

string TrackedRequest::eventText(int number) const {
  string const own = id + "." + std::to_string(number) + ".";
  return own + string(eventFiller, static_cast<char>('a' + hash64(own) % 26));
}

string TrackedRequest::plainAnswer() const {
  return "answer to " + id + " " + hex(hash64(path + body));
}

string TrackedRequest::resultText() const {
  string text;
  for (int number = 1; number <= events; ++number) text += (number > 1 ? "\n" : "") + eventText(number);
  return text;
}

TrackedRequest& Ledger::add(TrackedRequest request) {
  string const id = request.id;
  return requests_[id] = std::move(request);
}

TrackedRequest* Ledger::beginRun(string const& id, string const& path, string const& body, int lastEventId) {
  auto const found = requests_.find(id);
  if (found == requests_.end()) {
    verdict_.fail("UNASKED", "a worker got " + id + " for " + path + ", which no client sent");
    return nullptr;
  }
  TrackedRequest& request = found->second;
  if (path != request.path || body != request.body)
    verdict_.fail("UNASKED", id + " reached a worker with a changed path or body: " + path);
  if (request.refused) verdict_.fail("REFUSED", id + " runs although its client was promised that it won't");
  if (request.mustNotRunAfter && Clock::now() > *request.mustNotRunAfter)
    verdict_.fail("UNASKED", id + " of lot " + request.lot + " runs after the lot's end was acknowledged");
  ++request.runs;
  if (request.runs > 1 && !request.mayRunTwice()) verdict_.fail("TWICE", id + " runs a second time");
  if (lastEventId > request.events)
    verdict_.fail("ORDER", id + " is resumed after event " + std::to_string(lastEventId) + " of " +
                               std::to_string(request.events));
  return &request;
}

void Ledger::notePromiseNotRun(TrackedRequest& request, string const& promise) {
  request.refused = true;
  if (request.runs)
    verdict_.fail("REFUSED", request.id + " has run, but its client was promised otherwise by " + promise);
}

}  // namespace tealshelf::soak

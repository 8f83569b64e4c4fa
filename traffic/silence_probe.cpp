#include "traffic/silence_probe.hpp"

#include "traffic/connection_probe.hpp"

namespace tealshelf {

SilenceProbe::SilenceProbe(asio::io_context& io, Address worker, Timing timing, OnProbed onProbed)
    : state_(std::make_shared<State>(io, std::move(worker), timing, std::move(onProbed))) {
  spawnTask(io, "silence probe", watch(state_));
}

SilenceProbe::~SilenceProbe() {
  state_->stopped = true;
  state_->timer.cancel();
}

Task<void> SilenceProbe::watch(std::shared_ptr<State> state) {
  for (;;) {
    bool const isSilent = co_await awaitSilence(state);
    if (!isSilent) co_return;
    TimePoint const silentSince = state->progressAt;
    bool const reachable = co_await respondsToConnect(state->io, state->worker, state->timing.answerWithin);
    if (state->stopped) co_return;
    if (state->progressAt != silentSince) continue;
    state->timing.silence *= 2;
    state->onProbed(reachable);
    if (!reachable) co_return;
  }
}

Task<bool> SilenceProbe::awaitSilence(std::shared_ptr<State> state) {
  while (!state->stopped) {
    TimePoint const due = state->progressAt + state->timing.silence;
    if (Clock::now() >= due) co_return true;
    state->timer.expires_at(due);
    error_code ignored;
    co_await state->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return false;
}

}  // namespace tealshelf

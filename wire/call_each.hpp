#pragma once
#include "wire/rpc.hpp"

namespace tealshelf {

/// The outcome of one of several calls.
template <class Reply>
struct CallOutcome {
  std::optional<Reply> reply;  ///< nullopt while the call is pending, or if it failed
  string error;                ///< why it failed
};

/// Sends the same request to several processes in parallel and returns the outcomes in the order of the addresses.
///
/// Ends when all calls have succeeded or failed, at the latest after the limit, or as soon as `isEnough` returns true
/// for the outcomes so far; the remaining calls then continue, and their replies are ignored. Client and context must
/// outlive the calls.
template <class Request>
Task<vector<CallOutcome<typename Request::Reply>>> callEach(
    asio::io_context& io, RpcClient& rpc, vector<Address> addresses, Request request, Ms limit,
    std::function<bool(vector<CallOutcome<typename Request::Reply>> const&)> isEnough = nullptr) {
  using Reply = typename Request::Reply;
  struct State {
    State(asio::io_context& context, std::size_t calls)
        : changed(context, TimePoint::max()), outcomes(calls), outstanding(calls) {}
    asio::steady_timer changed;
    vector<CallOutcome<Reply>> outcomes;
    std::size_t outstanding;
  };
  std::shared_ptr<State> const state = std::make_shared<State>(io, addresses.size());
  for (std::size_t call = 0; call < addresses.size(); ++call)
    asio::co_spawn(io, rpc.call(addresses[call], request, limit),
                   [state, call](std::exception_ptr failure, Reply reply) {
                     CallOutcome<Reply>& outcome = state->outcomes[call];
                     try {
                       if (failure) std::rethrow_exception(failure);
                       outcome.reply = std::move(reply);
                     } catch (std::exception const& error) {
                       outcome.error = error.what();
                     }
                     --state->outstanding;
                     state->changed.cancel();
                   });
  error_code ignored;
  while (state->outstanding && !(isEnough && isEnough(state->outcomes)))
    co_await state->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  co_return state->outcomes;
}

}  // namespace tealshelf

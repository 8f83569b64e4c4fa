#pragma once
#include "wire/tasks.hpp"

namespace tealshelf {

/// Opens a connection and closes it again. True if the peer accepted or refused it in time: in both cases its host can
/// be reached. The kernel answers, so the load of the peer's process doesn't matter.
Task<bool> respondsToConnect(asio::io_context& io, Address to, Ms answerWithin);

}  // namespace tealshelf

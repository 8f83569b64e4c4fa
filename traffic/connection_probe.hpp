#pragma once
#include "wire/tasks.hpp"

namespace tealshelf {

/// Opens a connection and closes it again. True if the other side took or refused it in time: either way it can be
/// reached. How busy its process is plays no part.
Task<bool> respondsToConnect(asio::io_context& io, Address to, Ms answerWithin);

}  // namespace tealshelf

#include "tools/soak/address_block.hpp"

#include <unistd.h>

namespace tealshelf::soak {

namespace {
/// Each block takes so many values of an address's third number, with so many addresses each.
constexpr int spanOfBlock = 4, addressesInSpan = 250;
constexpr std::uint64_t firstOctet = 64, octets = 120, blocksInOctet = 60, blocks = octets * blocksInOctet;
constexpr int guardNumber = 990, guardPort = 8139, maxTries = 200;
}  // namespace

AddressBlock::AddressBlock(asio::io_context& io, std::uint64_t seed) : guard_(io) {
  std::uint64_t const first = hash64(std::to_string(::getpid()), seed);
  for (int i = 0; i < maxTries; ++i)
    if (reserve((first + static_cast<std::uint64_t>(i)) % blocks)) return;
  throw std::runtime_error("no block of loopback addresses is free");
}

string AddressBlock::ip(int number) const {
  return prefix_ + std::to_string(thirdNumber_ + number / addressesInSpan) + "." +
         std::to_string(1 + number % addressesInSpan);
}

bool AddressBlock::reserve(std::uint64_t place) {
  prefix_ = "127." + std::to_string(firstOctet + place / blocksInOctet) + ".";
  thirdNumber_ = static_cast<int>(place % blocksInOctet) * spanOfBlock;
  error_code error;
  guard_ = tcp::acceptor(guard_.get_executor());
  guard_.open(tcp::v4(), error);
  guard_.bind({asio::ip::make_address(ip(guardNumber)), guardPort}, error);
  if (!error) guard_.listen(1, error);
  return !error;
}

}  // namespace tealshelf::soak

#include "tools/soak/address_block.hpp"

#include <unistd.h>

namespace tealshelf::soak {

namespace {
/// A block spans `thirdOctetsPerBlock` values of the third octet, with `addressesPerThirdOctet` addresses in each.
constexpr int thirdOctetsPerBlock = 4, addressesPerThirdOctet = 250;
constexpr std::uint64_t firstSecondOctet = 64, secondOctets = 120, blocksPerSecondOctet = 60,
                        blocks = secondOctets * blocksPerSecondOctet;
constexpr int guardNumber = 990, guardPort = 8139, maxTries = 200;
}  // namespace

AddressBlock::AddressBlock(asio::io_context& io, std::uint64_t seed) : guard_(io) {
  std::uint64_t const first = hash64(std::to_string(::getpid()), seed);
  for (int i = 0; i < maxTries; ++i)
    if (reserve((first + static_cast<std::uint64_t>(i)) % blocks)) return;
  throw std::runtime_error("no block of loopback addresses is free");
}

string AddressBlock::ip(int number) const {
  return prefix_ + std::to_string(thirdOctet_ + number / addressesPerThirdOctet) + "." +
         std::to_string(1 + number % addressesPerThirdOctet);
}

bool AddressBlock::reserve(std::uint64_t index) {
  prefix_ = "127." + std::to_string(firstSecondOctet + index / blocksPerSecondOctet) + ".";
  thirdOctet_ = static_cast<int>(index % blocksPerSecondOctet) * thirdOctetsPerBlock;
  error_code error;
  guard_ = tcp::acceptor(guard_.get_executor());
  guard_.open(tcp::v4(), error);
  guard_.bind({asio::ip::make_address(ip(guardNumber)), guardPort}, error);
  if (!error) guard_.listen(1, error);
  return !error;
}

}  // namespace tealshelf::soak

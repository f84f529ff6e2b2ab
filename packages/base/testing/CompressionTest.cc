// Guards against damaged or hostile compressed data that is accepted or exhausts the memory.

#include <catch2/catch.hpp>

#include "base/Compression.h"

namespace camphorcleat {
namespace {

constexpr std::size_t kLimit = 1U << 20U;

bool isAccepted(const std::string& aCompressed, std::size_t aLimit = kLimit)
{
  return orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(decompress(aCompressed, aLimit));
      return true;
    },
    [](const ErrorInfo& /*aInfo*/) { return false; });
}

TEST_CASE("decompressed data equals the original")
{
  for (const std::size_t size : { 0U, 1U, 100U, 500000U }) {
    const std::string data(size, 'x');
    CHECK(decompress(compress(data), kLimit).value() == data);
    CHECK(decompressedBytes(compress(data)) == size);
  }
}

TEST_CASE("truncated, altered and too long data is refused")
{
  std::string text;
  for (int i = 0; i < 2000; ++i) {
    text += std::to_string(i * 7919);
  }
  const std::string good = compress(text);
  REQUIRE(isAccepted(good));
  for (std::size_t size = 0; size < good.size(); size += 97) {
    INFO("first " << size << " bytes");
    CHECK_FALSE(isAccepted(good.substr(0, size)));
  }
  std::string altered = good;
  altered[altered.size() / 2] = static_cast<char>(altered[altered.size() / 2] ^ 0x55);
  CHECK_FALSE(isAccepted(altered));
  std::string longer = good;
  longer[0] = '\x7f'; // A length of about 2 GB.
  CHECK_FALSE(isAccepted(longer));
  CHECK_FALSE(isAccepted(good, text.size() - 1));
}

} // namespace
} // namespace camphorcleat

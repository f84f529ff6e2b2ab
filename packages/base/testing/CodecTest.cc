// Guards against messages that do not decode to the value that was encoded, and against invalid
// input that crashes the decoder.

#include <catch2/catch.hpp>

#include "base/Codec.h"

namespace camphorcleat {
namespace {

enum class Colour
{
  Red,
  Green
};

struct Inner
{
  std::uint8_t level = 0;
  static constexpr auto fields() { return std::make_tuple(field("level", &Inner::level)); }
};

struct First
{
  static constexpr const char* kName = "first";
  std::string text;
  static constexpr auto fields() { return std::make_tuple(field("text", &First::text)); }
};

struct Second
{
  static constexpr const char* kName = "second";
  Inner inner;
  static constexpr auto fields() { return std::make_tuple(field("inner", &Second::inner)); }
};

struct Defaulted
{
  std::uint32_t count = 5;
  std::string text = "some";
  static constexpr auto fields()
  {
    return std::make_tuple(field("count", &Defaulted::count), field("text", &Defaulted::text));
  }
};

struct Sample
{
  std::uint64_t number = 0;
  Colour colour = Colour::Red;
  std::optional<std::string> note;
  std::vector<Inner> inners;
  std::map<std::uint32_t, std::string> names;
  std::variant<First, Second> choice;
  Bytes raw;
  Millis wait{};
  RequestId id;
  static constexpr auto fields()
  {
    return std::make_tuple(field("number", &Sample::number), field("colour", &Sample::colour),
                           field("note", &Sample::note), field("inners", &Sample::inners),
                           field("names", &Sample::names), field("choice", &Sample::choice),
                           field("raw", &Sample::raw), field("wait_ms", &Sample::wait),
                           field("id", &Sample::id));
  }
};

} // namespace

template<>
struct EnumNames<Colour>
{
  static constexpr EnumName<Colour> kTable[] = { { Colour::Red, "red" },
                                                 { Colour::Green, "green" } };
};

namespace {

Sample sample()
{
  Sample out;
  out.number = (1ULL << 52U) + 1;
  out.colour = Colour::Green;
  out.inners = { Inner{ 3 }, Inner{ 255 } };
  out.names = { { 7, "seven" } };
  out.choice = Second{ Inner{ 9 } };
  out.raw = Bytes(std::string("\0\xff", 2));
  out.wait = Millis(250);
  out.id = { 5, 6 };
  return out;
}

template<class F>
std::string failureOfCall(F&& aCall)
{
  return orElse(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(aCall());
      return std::string();
    },
    [](const ErrorInfo& aInfo) { return aInfo.message; });
}

void requireEqual(const Sample& aLeft, const Sample& aRight)
{
  REQUIRE(aLeft.number == aRight.number);
  REQUIRE(aLeft.colour == aRight.colour);
  REQUIRE(aLeft.note == aRight.note);
  REQUIRE(aLeft.inners.size() == aRight.inners.size());
  REQUIRE(aLeft.names == aRight.names);
  REQUIRE(std::get<Second>(aLeft.choice).inner.level ==
          std::get<Second>(aRight.choice).inner.level);
  REQUIRE(aLeft.raw == aRight.raw);
  REQUIRE(aLeft.wait == aRight.wait);
  REQUIRE(aLeft.id == aRight.id);
}

} // namespace

TEST_CASE("a struct is unchanged after encoding and decoding as CBOR and JSON")
{
  requireEqual(sample(), decode<Sample>(encode(sample())).value());
  requireEqual(sample(), fromJson<Sample>(toJson(sample())).value());
}

TEST_CASE("a struct is unchanged by the compact encoding, which omits names and default values")
{
  requireEqual(sample(), decode<Sample>(encodeCompact(sample())).value());
  REQUIRE(encodeCompact(Inner{}) == "\xc6\x80");
  REQUIRE(encodeCompact(Inner{ 4 }) == "\xc6\x81\x04");
  REQUIRE(decode<Inner>("\xc6\x80").value().level == 0);
}

// Guards against a zero that is omitted like a default value and decoded as the member's default.
TEST_CASE("the compact encoding preserves a zero in a member whose default is not zero")
{
  Defaulted sent;
  sent.count = 0;
  sent.text.clear();
  const Defaulted got = decode<Defaulted>(encodeCompact(sent)).value();
  REQUIRE(got.count == 0);
  REQUIRE(got.text.empty());
  REQUIRE(decode<Defaulted>(encodeCompact(Defaulted{})).value().count == 5);
}

// Guards against messages of a newer version that are misread or refused for an added field.
TEST_CASE("the compact encoding skips added fields and refuses unknown enumerators and types")
{
  REQUIRE(decode<Inner>("\xc6\x82\x04\x05").value().level == 4);
  REQUIRE(failureOfCall([] { return decode<Sample>("\xc6\x82\x01\xc6\x09"); }) ==
          "field 'colour': unknown number 9");
  REQUIRE(failureOfCall([] {
            return decode<Sample>("\xc6\x86\xf6\xf6\xf6\xf6\xf6\xc6\x82\x02\xc6\x80");
          }) == "field 'choice.type': unknown type 2");
}

TEST_CASE("arrays and numbers without the tag are not read as the compact encoding")
{
  REQUIRE(failureOfCall([] { return decode<Inner>("\x81\x04"); }) == "field '': expected a map");
  REQUIRE(failureOfCall([] { return fromJson<Inner>("[4]"); }) == "field '': expected a map");
  REQUIRE(failureOfCall([] { return fromJson<Second>(R"({"inner": [4]})"); }) ==
          "field 'inner': expected a map");
}

TEST_CASE("unknown fields are skipped and the path of a missing field is reported")
{
  REQUIRE(fromJson<Inner>(R"({"level": 4, "later": true})").value().level == 4);
  REQUIRE(failureOfCall([] { return fromJson<Second>(R"({"inner": {}})"); }) ==
          "field 'inner.level': missing");
}

TEST_CASE("a number outside the member's range is refused")
{
  REQUIRE(failureOfCall([] { return fromJson<Inner>(R"({"level": 256})"); }) ==
          "field 'level': number 256 is out of range");
  REQUIRE(failureOfCall([] { return fromJson<Inner>(R"({"level": -1})"); }) ==
          "field 'level': expected a number that is not negative");
}

TEST_CASE("deep nesting and truncated input fail without a crash")
{
  REQUIRE_FALSE(failureOfCall([] { return decode<Sample>(std::string(100000, '\x81')); }).empty());
  const std::string whole = encode(sample());
  for (std::size_t n = 0; n < whole.size(); ++n) {
    REQUIRE_FALSE(failureOfCall([&] { return decode<Sample>(whole.substr(0, n)); }).empty());
  }
  const std::string compact = encodeCompact(sample());
  for (std::size_t n = 0; n < compact.size(); ++n) {
    REQUIRE_FALSE(failureOfCall([&] { return decode<Sample>(compact.substr(0, n)); }).empty());
  }
}

} // namespace camphorcleat

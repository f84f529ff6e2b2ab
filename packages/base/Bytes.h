// A byte string. It is a type of its own because the codec encodes bytes and text differently.

#ifndef CAMPHORCLEAT_BASE_BYTES_H_
#define CAMPHORCLEAT_BASE_BYTES_H_

#include <string>
#include <utility>

namespace camphorcleat {

struct Bytes
{
  std::string data;

  Bytes() = default;
  explicit Bytes(std::string aData)
    : data(std::move(aData))
  {
  }
  std::size_t size() const { return data.size(); }
  bool empty() const { return data.empty(); }
  bool operator==(const Bytes& aOther) const { return data == aOther.data; }
  bool operator!=(const Bytes& aOther) const { return data != aOther.data; }
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_BASE_BYTES_H_

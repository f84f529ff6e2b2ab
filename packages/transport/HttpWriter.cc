// Scatter-gather writes with progress tracking.

#include "transport/HttpWriter.h"

#include <cstdio>
#include <cstring>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace camphorcleat::transport {

namespace {

constexpr std::size_t kMaxBytesPerWrite = 1U << 20U;
constexpr const char* kLastChunk = "0\r\n\r\n";

std::string chunkPrefix(std::size_t aBytes)
{
  char buf[2 * sizeof(std::size_t) + 3];
  const int n = std::snprintf(buf, sizeof(buf), "%zx\r\n", aBytes);
  return std::string(buf, static_cast<std::size_t>(n));
}

} // namespace

HttpWriter::HttpWriter(boost::asio::ip::tcp::socket& aSocket,
                       std::function<void(bool aIsOpen)> aOnIdle)
  : mSocket(aSocket)
  , mOnIdle(std::move(aOnIdle))
{
}

void HttpWriter::queue(std::string aBytes, DoneCallback aDone)
{
  mQueue.push_back(Part{ std::string(), std::move(aBytes), "", std::move(aDone) });
}

void HttpWriter::queueBody(BodyFraming aFraming, std::string aData, bool aIsLast,
                           DoneCallback aDone)
{
  Part part;
  part.done = std::move(aDone);
  if (aFraming == BodyFraming::Chunked) {
    if (!aData.empty()) { // An empty chunk would end the body.
      part.prefix = chunkPrefix(aData.size());
      part.suffix = aIsLast ? "\r\n0\r\n\r\n" : "\r\n";
    } else if (aIsLast) {
      part.suffix = kLastChunk;
    }
  }
  if (aFraming != BodyFraming::None) {
    part.data = std::move(aData);
  }
  mQueue.push_back(std::move(part));
}

void HttpWriter::flush(std::shared_ptr<void> aOwner)
{
  if (mIsWriting || mIsClosed || mQueue.empty()) {
    return;
  }
  mIsWriting = true;
  mWriting.swap(mQueue);
  mBuffers.clear();
  for (const auto& it : mWriting) {
    if (!it.prefix.empty()) {
      mBuffers.emplace_back(boost::asio::buffer(it.prefix));
    }
    if (!it.data.empty()) {
      mBuffers.emplace_back(boost::asio::buffer(it.data));
    }
    if (*it.suffix != '\0') {
      mBuffers.emplace_back(it.suffix, std::strlen(it.suffix));
    }
  }
  mLastProgress = Clock::now();
  boost::asio::async_write(
    mSocket, mBuffers,
    [self = shared_from_this()](const boost::system::error_code& aEc, std::size_t) {
      self->mLastProgress = Clock::now();
      return aEc ? 0 : kMaxBytesPerWrite;
    },
    [self = shared_from_this(), owner = std::move(aOwner)](const boost::system::error_code& aEc,
                                                           std::size_t) {
      self->onWritten(!aEc && !self->mIsClosed);
    });
}

void HttpWriter::onWritten(bool aIsOpen)
{
  mIsWriting = false;
  std::vector<Part> parts;
  parts.swap(mWriting);
  for (auto& it : parts) {
    if (it.done) {
      it.done(aIsOpen && !mIsClosed);
    }
  }
  if (!mIsClosed) {
    mOnIdle(aIsOpen);
  }
}

void HttpWriter::close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  std::vector<Part> parts;
  parts.swap(mQueue);
  for (auto& it : parts) {
    if (it.done) {
      boost::asio::post(mSocket.get_executor(), [done = std::move(it.done)] { done(false); });
    }
  }
}

} // namespace camphorcleat::transport

// Implementation of TargetExchange over HTTP/1.1, from connecting to the end of the response.
// Internal to the package.

#ifndef CAMPHORCLEAT_TRANSPORT_HTTPTARGETEXCHANGE_H_
#define CAMPHORCLEAT_TRANSPORT_HTTPTARGETEXCHANGE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "transport/HttpWriter.h"
#include "transport/TargetConnectionPool.h"

namespace camphorcleat::transport {

class HttpTargetExchange final
  : public TargetExchange
  , public std::enable_shared_from_this<HttpTargetExchange>
{
public:
  HttpTargetExchange(std::shared_ptr<TargetConnectionPool> aPool, TargetRequest aRequest,
                     std::shared_ptr<TargetHandler> aHandler, TimePoint aDeadline);

  /// Acquires an idle connection or opens a new one, and sends the request.
  void begin();

  /// Applies the deadline and the connect timeout. Called every 10 ms.
  void checkTimeouts(TimePoint aNow);

  /// Ends the exchange without calling the handler.
  void discard();

  void sendBody(std::string aData, bool aIsLast) override;
  void readMore() override;
  void closeAfterResponse() override { mMayReuseConnection = false; }
  void cancel() override;

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void connect();
  void onConnected();
  void sendRequest();
  std::string serializeHead() const;
  void startWrite();
  void onWriterIdle(bool aIsOpen);
  void onPartWritten(bool aIsOpen);
  void readHead();
  void onHeadRead(const boost::system::error_code& aEc);
  void readSome();
  void discardStaleResponse();
  void onStaleRead(const boost::system::error_code& aEc);
  void onBodyRead(const boost::system::error_code& aEc);
  void onConnectionEnd(std::string aData);
  void finishUnframed(std::string aData);
  void onReadError(const boost::system::error_code& aEc);
  void complete(std::string aData);
  void postFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage);
  void reportFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage);
  void close();

  std::shared_ptr<TargetConnectionPool> mPool;
  TargetRequest mRequest;
  std::shared_ptr<TargetHandler> mHandler;
  TimePoint mDeadline;
  TimePoint mConnectDeadline = TimePoint::max();
  std::unique_ptr<TargetConnection> mConnection;
  std::shared_ptr<HttpWriter> mWriter;
  std::optional<Parser> mParser;
  std::vector<char> mBodyBuffer;
  BodyFraming mFraming = BodyFraming::None;
  std::uint64_t mRequestBytesLeft = 0;
  unsigned mInterimResponses = 0;
  unsigned mStaleResponses = 0;
  bool mMayHaveRun = false;
  bool mAwaitsBodyPart = false; ///< onWritable() was called and sendBody() wasn't called since.
  bool mRequestQueued = false;  ///< The complete request was passed to the writer.
  bool mWriteFailed = false;
  bool mHeadDelivered = false;
  bool mIsReading = false;
  bool mMayReuseConnection = true;
  bool mIsDone = false;
};

} // namespace camphorcleat::transport

#endif // CAMPHORCLEAT_TRANSPORT_HTTPTARGETEXCHANGE_H_

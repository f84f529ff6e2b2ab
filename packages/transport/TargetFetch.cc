// Connects, writes and reads under a single time limit, which beast::tcp_stream enforces.

#include "transport/TargetFetch.h"

#include <memory>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace camphorcleat::transport {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 64U << 10U;
// Limits chunk extensions and trailers, to which the parser's limits don't apply.
constexpr std::size_t kMaxBufferBytes = 128U << 10U;
constexpr unsigned kHttp11 = 11;

class Fetch : public std::enable_shared_from_this<Fetch>
{
public:
  Fetch(boost::asio::io_context& aIo, const FetchRequest& aRequest,
        std::function<void(FetchResult)> aCallback)
    : mStream(aIo)
    , mCallback(std::move(aCallback))
  {
    mRequest.version(kHttp11);
    mRequest.method_string(aRequest.method);
    mRequest.target(aRequest.path);
    mRequest.set(http::field::host, aRequest.address);
    mRequest.set(http::field::connection, "close");
    mRequest.body() = aRequest.body;
    mRequest.prepare_payload();
    mParser.body_limit(kMaxBodyBytes);
    if (mRequest.method() == http::verb::head) {
      mParser.skip(true);
    }
    mStream.expires_after(aRequest.timeout);
  }

  void run(const boost::asio::ip::tcp::endpoint& aEndpoint)
  {
    mStream.async_connect(aEndpoint, [self = shared_from_this()](const beast::error_code& aEc) {
      if (aEc) {
        self->finish(aEc, ErrorCode::TargetDown);
      } else {
        self->write();
      }
    });
  }

private:
  void write()
  {
    beast::error_code ec;
    mStream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
    mResult.sentAt = Clock::now();
    http::async_write(mStream, mRequest,
                      [self = shared_from_this()](const beast::error_code& aEc, std::size_t) {
                        if (aEc) {
                          self->finish(aEc, ErrorCode::OutcomeUnknown);
                        } else {
                          self->read();
                        }
                      });
  }

  void read()
  {
    http::async_read(mStream, mBuffer, mParser,
                     [self = shared_from_this()](const beast::error_code& aEc, std::size_t) {
                       self->mResult.receivedAt = Clock::now();
                       self->finish(aEc, self->mParser.is_header_done()
                                           ? ErrorCode::ResponseTruncated
                                           : ErrorCode::OutcomeUnknown);
                     });
  }

  void finish(const beast::error_code& aEc, ErrorCode aCode)
  {
    if (aEc) {
      mResult.code = aEc == beast::error::timeout     ? ErrorCode::DeadlineExceeded
                     : aEc == http::error::body_limit ? ErrorCode::BodyTooLarge
                                                      : aCode;
      mResult.message = aEc.message();
    } else {
      mResult.ok = true;
      mResult.status = mParser.get().result_int();
      mResult.body = std::move(mParser.get().body());
    }
    mStream.close();
    mCallback(std::move(mResult));
  }

  beast::tcp_stream mStream;
  http::request<http::string_body> mRequest;
  http::response_parser<http::string_body> mParser;
  beast::flat_buffer mBuffer{ kMaxBufferBytes };
  FetchResult mResult;
  std::function<void(FetchResult)> mCallback;
};

} // namespace

void startFetch(boost::asio::io_context& aIo, const boost::asio::ip::tcp::endpoint& aEndpoint,
                const FetchRequest& aRequest, std::function<void(FetchResult)> aCallback)
{
  std::make_shared<Fetch>(aIo, aRequest, std::move(aCallback))->run(aEndpoint);
}

} // namespace camphorcleat::transport

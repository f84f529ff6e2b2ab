// Runs each request on its own event loop, so that the time limit includes connecting.

#include "harness/HttpCall.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

std::string HttpResponse::header(const std::string& aName) const
{
  for (const auto& [name, value] : headers) {
    if (beast::iequals(name, aName)) {
      return value;
    }
  }
  return {};
}

Result<HttpResponse> httpCall(const Endpoint& aServer, const std::string& aMethod,
                              const std::string& aTarget, const std::string& aBody, Millis aTimeout,
                              const HttpHeaders& aHeaders)
{
  asio::io_context loop(1);
  beast::tcp_stream stream(loop);
  stream.expires_after(aTimeout);
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aMethod);
  request.target(aTarget);
  request.set(http::field::host, endpointText(aServer));
  for (const auto& [name, value] : aHeaders) {
    request.set(name, value);
  }
  request.keep_alive(false);
  request.body() = aBody;
  request.prepare_payload();
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(64U << 20U);
  boost::system::error_code failure;
  stream.async_connect(aServer, [&](boost::system::error_code aError) {
    if ((failure = aError)) {
      return;
    }
    http::async_write(stream, request, [&](boost::system::error_code aWriteError, std::size_t) {
      if ((failure = aWriteError)) {
        return;
      }
      http::async_read(
        stream, buffer, parser,
        [&](boost::system::error_code aReadError, std::size_t) { failure = aReadError; });
    });
  });
  loop.run();
  if (failure) {
    return fail(HarnessError{ aMethod + " " + aTarget + " at " + endpointText(aServer) +
                              " failed: " + failure.message() });
  }
  HttpResponse out{ parser.get().result_int(), parser.get().body() };
  for (const auto& it : parser.get()) {
    out.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
  }
  return out;
}

} // namespace camphorcleat::harness

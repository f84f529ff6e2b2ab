// Guards against requests whose framing two readers could read differently, callers that are slow
// or gone, and answers that look complete but aren't.

#include <catch2/catch.hpp>

#include "TransportFakes.h"
#include "transport/HttpFrontend.h"
#include "transport/HttpHeaders.h"

namespace camphorcleat::transport::testing {
namespace {

using Stream = std::shared_ptr<CallerStream>;

/// Passes each request to a function that the test sets.
class FunctionHandler final : public HttpHandler
{
public:
  void onRequest(Stream aStream) override
  {
    ++mRequests;
    mFunction(std::move(aStream));
  }
  void set(std::function<void(Stream)> aFunction) { mFunction = std::move(aFunction); }
  int requests() const { return mRequests; }

private:
  std::function<void(Stream)> mFunction = [](const Stream& aStream) {
    aStream->sendWhole(200, {}, aStream->path());
  };
  std::atomic<int> mRequests{ 0 };
};

struct Server
{
  explicit Server(HttpLimits aLimits = {})
    : frontend(std::make_unique<HttpFrontend>(thread.context(), "127.0.0.1:0", aLimits, handler))
  {
    REQUIRE(frontend->start());
    thread.start();
  }
  ~Server()
  {
    runOn(thread, [&] { frontend.reset(); });
  }
  FunctionHandler handler;
  DutyThread thread{ "http" };
  std::unique_ptr<HttpFrontend> frontend;
};

} // namespace

TEST_CASE("requests on one connection are answered in order")
{
  Server server;
  PlainSocket caller(server.frontend->port());
  caller.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n"
               "GET /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const std::string got = caller.readAll();
  const auto a = got.find("\r\n\r\n/a");
  const auto b = got.find("\r\n\r\n/b");
  const auto c = got.find("\r\n\r\n/c");
  REQUIRE(a < b);
  REQUIRE(b < c);
  REQUIRE(c != std::string::npos);
}

} // namespace camphorcleat::transport::testing

// HTTP exchanges for orders to the target.

#include "daemon/TargetOrders.h"

#include <memory>
#include <utility>

#include "base/Log.h"

namespace camphorcleat::daemon {

namespace {

// Shorter than the time after which targets close idle connections.
constexpr Millis kIdleTimeout{ 5000 };

transport::TargetClientConfig clientConfig(const std::string& aAddress, std::size_t aConnections)
{
  transport::TargetClientConfig out;
  out.address = aAddress;
  out.maxConnections = aConnections;
  out.idleTimeout = kIdleTimeout;
  return out;
}

void logFailure(const OrderFailed& aFailure)
{
  logEvent(LogLevel::Warning, "order_failed",
           { { "order", std::string(enumName(aFailure.order.kind)) },
             { "from", std::to_string(aFailure.order.from) },
             { "to", std::to_string(aFailure.order.to) },
             { "token", std::to_string(aFailure.order.token) },
             { "outcome", std::string(enumName(aFailure.outcome)) },
             { "reason", aFailure.reason } });
}

} // namespace

/// One order in progress.
class TargetOrders::Call : public transport::TargetHandler
{
public:
  Call(TargetOrders& aHost, fleet::TargetOrder aOrder, std::string aBody)
    : mHost(aHost)
    , mOrder(std::move(aOrder))
    , mBody(std::move(aBody))
  {
  }

  void setExchange(std::shared_ptr<transport::TargetExchange> aExchange)
  {
    mExchange = std::move(aExchange);
  }

  bool mayStartWrite() override { return Clock::now() <= mOrder.sendUntil; }

  void onWritable() override { mExchange->sendBody(std::move(mBody), true); }

  void onHead(unsigned aStatus, std::vector<wire::Header> aHeaders,
              std::optional<std::uint64_t> /*aContentLength*/) override
  {
    mResponse = mHost.mProtocol.classify(mOrder.kind, aStatus, aHeaders);
    if (mOrder.kind == fleet::OrderKind::Release ||
        mResponse.outcome == fleet::OrderOutcome::Unknown) {
      mExchange->closeAfterResponse();
    }
    mExchange->readMore();
  }

  void onBody(std::string /*aData*/, bool aIsLast) override
  {
    if (aIsLast) {
      end(mResponse);
    } else {
      mExchange->readMore();
    }
  }

  void onFailure(bool aMayHaveRun, ErrorCode aCode, std::string aMessage) override
  {
    OrderResponse response;
    response.outcome = aMayHaveRun ? fleet::OrderOutcome::Unknown : fleet::OrderOutcome::NotSent;
    response.reason = std::string(enumName(aCode)) + ": " + aMessage;
    end(response);
  }

private:
  void end(const OrderResponse& aResponse)
  {
    mExchange.reset();
    mHost.ended(mOrder, aResponse);
  }

  TargetOrders& mHost;
  fleet::TargetOrder mOrder;
  std::string mBody;
  std::shared_ptr<transport::TargetExchange> mExchange;
  OrderResponse mResponse;
};

TargetOrders::TargetOrders(boost::asio::io_context& aIo, const std::string& aAddress,
                           const OrderProtocol& aProtocol, fleet::CallGrants::Config aConfig,
                           EndCallback aOnEnd)
  : mProtocol(aProtocol)
  , mOnEnd(std::move(aOnEnd))
  , mGrants(aConfig)
  , mGrantClient(aIo, clientConfig(aAddress, fleet::CallGrants::kMaxGrantsInFlight))
  , mReleaseClient(aIo, clientConfig(aAddress, fleet::CallGrants::kMaxReleasesInFlight))
{
}

void TargetOrders::send(const fleet::FleetModel& aModel, TimePoint aLeaseValidUntil)
{
  for (auto& order : mGrants.nextOrders(Clock::now(), aModel, aLeaseValidUntil)) {
    OrderRequest form = mProtocol.requestOf(order);
    transport::TargetRequest request;
    request.method = "POST";
    request.path = std::move(form.path);
    request.headers = std::move(form.headers);
    request.contentLength = form.body.size();
    const TimePoint answerUntil = order.answerUntil;
    auto& client = order.kind == fleet::OrderKind::Grant ? mGrantClient : mReleaseClient;
    const auto call = std::make_shared<Call>(*this, std::move(order), std::move(form.body));
    call->setExchange(client.start(std::move(request), call, answerUntil));
  }
}

void TargetOrders::ended(const fleet::TargetOrder& aOrder, const OrderResponse& aResponse)
{
  if (aResponse.outcome != fleet::OrderOutcome::Done) {
    logFailure({ aOrder, aResponse.outcome, aResponse.reason });
  } else if (aOrder.kind == fleet::OrderKind::Release) {
    logEvent(LogLevel::Info, "keys_released",
             { { "from", std::to_string(aOrder.from) },
               { "to", std::to_string(aOrder.to) },
               { "token", std::to_string(aOrder.token) },
               { "has_handover", aResponse.handover.empty() ? "false" : "true" } });
  }
  mGrants.orderEnded(Clock::now(), aOrder.id, aResponse.outcome, aResponse.handover);
  mOnEnd();
}

} // namespace camphorcleat::daemon

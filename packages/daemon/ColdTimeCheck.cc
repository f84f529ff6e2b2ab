// One exchange with the target's health path.

#include "daemon/ColdTimeCheck.h"

#include <memory>
#include <utility>
#include <vector>

namespace camphorcleat::daemon {

namespace {

constexpr Millis kTimeout{ 300 };
constexpr Millis kIdleTimeout{ 5000 }; // Below that of targets.

transport::TargetClientConfig clientConfig(const std::string& aAddress)
{
  transport::TargetClientConfig out;
  out.address = aAddress;
  out.maxConnections = 1;
  out.connectTimeout = kTimeout;
  out.idleTimeout = kIdleTimeout;
  return out;
}

class HealthHandler final : public transport::TargetHandler
{
public:
  HealthHandler(const Dialect& aDialect, std::string aInstance, ColdTimeCheck::Callback aCallback)
    : mDialect(aDialect)
    , mInstance(std::move(aInstance))
    , mCallback(std::move(aCallback))
  {
  }

  void setExchange(std::weak_ptr<transport::TargetExchange> aExchange)
  {
    mExchange = std::move(aExchange);
  }

  void onWritable() override {}

  void onHead(unsigned /*aStatus*/, std::vector<wire::Header> aHeaders,
              std::optional<std::uint64_t> /*aContentLength*/) override
  {
    mColdFor = mDialect.parseColdTime(aHeaders, mInstance);
    if (const auto exchange = mExchange.lock()) {
      if (!mColdFor) {
        exchange->closeAfterResponse();
      }
      exchange->readMore();
    }
  }

  void onBody(std::string /*aData*/, bool aIsLast) override
  {
    const auto exchange = mExchange.lock();
    if (aIsLast) {
      mCallback(mColdFor);
    } else if (exchange) {
      exchange->readMore();
    }
  }

  void onFailure(bool /*aMayHaveRun*/, ErrorCode /*aCode*/, std::string /*aMessage*/) override
  {
    mCallback(std::nullopt);
  }

private:
  const Dialect& mDialect;
  std::string mInstance;
  ColdTimeCheck::Callback mCallback;
  std::weak_ptr<transport::TargetExchange> mExchange;
  std::optional<Millis> mColdFor;
};

} // namespace

ColdTimeCheck::ColdTimeCheck(boost::asio::io_context& aIo, const std::string& aAddress,
                             const Dialect& aDialect)
  : mClient(aIo, clientConfig(aAddress))
  , mDialect(aDialect)
{
}

void ColdTimeCheck::start(const std::string& aPath, const std::string& aInstance,
                          Callback aCallback)
{
  auto handler = std::make_shared<HealthHandler>(mDialect, aInstance, std::move(aCallback));
  handler->setExchange(mClient.start(transport::TargetRequest{ "GET", aPath, {}, 0 }, handler,
                                     Clock::now() + kTimeout));
}

} // namespace camphorcleat::daemon

// Schedules requests, chooses their entries and pools connections.

#include "harness/LoadDriver.h"

#include <algorithm>

#include "harness/PatternBytes.h"

namespace camphorcleat::harness {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned kDefaultMaxConnections = 1000;
constexpr Millis kDefaultDeadline{ 10'000 }; // Equals the entry's default.
constexpr Millis kTimeoutMargin{ 2000 };     // Lets the entry's deadline response arrive first.
constexpr Millis kAvoidTime{ 1000 };         // How long an unreachable entry is avoided.

} // namespace

Result<std::unique_ptr<LoadDriver>> LoadDriver::create(asio::io_context& aLoop, LoadPlan aPlan,
                                                       JsonLineWriter aRecordWriter)
{
  std::vector<Endpoint> endpoints;
  for (const auto& it : aPlan.entries) {
    BOOST_LEAF_AUTO(endpoint, parseEndpoint(it));
    endpoints.push_back(endpoint);
  }
  std::unique_ptr<LoadDriver> out(
    new LoadDriver(aLoop, std::move(aPlan), std::move(aRecordWriter)));
  for (const auto& it : endpoints) {
    out->mEntries.push_back(std::make_unique<Entry>());
    out->mEntries.back()->endpoint = it;
  }
  return out;
}

LoadDriver::LoadDriver(asio::io_context& aLoop, LoadPlan aPlan, JsonLineWriter aRecordWriter)
  : mLoop(aLoop)
  , mPlan(std::move(aPlan))
  , mRecordWriter(std::move(aRecordWriter))
  , mRandom(mPlan.seed.value_or(1))
{
  for (const auto& it : mPlan.streams) {
    mStreams.push_back(std::make_unique<Stream>(aLoop, it));
  }
}

LoadDriver::~LoadDriver()
{
  for (const auto& entry : mEntries) {
    for (const auto& it : entry->connections) {
      it->close();
    }
  }
}

void LoadDriver::start(std::function<void()> aOnFinished)
{
  mOnFinished = std::move(aOnFinished);
  const TimePoint now = Clock::now();
  mEndTime = now + mPlan.duration;
  mActiveStreams = mStreams.size();
  for (const auto& it : mStreams) {
    it->nextDue = now + nextInterval(*it);
    scheduleNext(*it);
  }
}

void LoadDriver::stop()
{
  mEndTime = Clock::now();
  for (const auto& it : mStreams) {
    it->timer.cancel();
  }
}

void LoadDriver::scheduleNext(Stream& aStream)
{
  aStream.timer.expires_at(std::min(aStream.nextDue, mEndTime));
  aStream.timer.async_wait([this, &aStream](boost::system::error_code) {
    const TimePoint now = Clock::now();
    while (aStream.nextDue <= now && aStream.nextDue < mEndTime) {
      issueCall(aStream);
      aStream.nextDue += nextInterval(aStream);
    }
    if (now < mEndTime) {
      scheduleNext(aStream);
      return;
    }
    --mActiveStreams;
    notifyIfFinished();
  });
}

Duration LoadDriver::nextInterval(const Stream& aStream)
{
  if (aStream.plan.isSteady.value_or(false)) {
    return fromSeconds(1 / aStream.plan.ratePerSecond);
  }
  return fromSeconds(std::exponential_distribution<double>(aStream.plan.ratePerSecond)(mRandom));
}

LoadCall LoadDriver::makeCall(Stream& aStream)
{
  const LoadStreamPlan& plan = aStream.plan;
  LoadCall call;
  CallRecord& record = call.record;
  record.scheduledUs =
    std::chrono::duration_cast<Micros>(aStream.nextDue.time_since_epoch()).count();
  record.load = plan.name;
  record.id = mPlan.name + "-" + std::to_string(++mCallCount);
  record.account = plan.account;
  record.service = plan.service;
  record.key = aStream.keyChooser.nextKey(mRandom);
  const bool isPost =
    std::uniform_real_distribution<double>(0, 1)(mRandom) < plan.postShare.value_or(0);
  record.method = isPost ? "POST" : "GET";
  call.expected.bodyBytes = isPost ? plan.bodyBytes.value_or(0) : 0;
  call.expected.responseBytes = plan.responseBytes.value_or(0);
  call.timeout = plan.deadline.value_or(kDefaultDeadline) + kTimeoutMargin;

  std::string path =
    "/" + plan.service + (record.key.empty() ? "" : "/" + record.key) + "/item?id=" + record.id;
  if (call.expected.responseBytes > 0) {
    path += "&bytes=" + std::to_string(call.expected.responseBytes);
  }
  if (plan.workMs) {
    path += "&work_ms=" + std::to_string(*plan.workMs);
  }
  call.request = { isPost ? http::verb::post : http::verb::get, path, 11 };
  call.request.set(http::field::host, "camphorcleat.test");
  if (!plan.accountKey.empty()) {
    call.request.set(http::field::authorization, "Bearer " + plan.accountKey);
  }
  if (isPost && plan.hasIdempotencyKeys.value_or(false)) {
    call.request.set("Idempotency-Key", record.id);
  }
  if (plan.deadline) {
    call.request.set("Camphorcleat-Deadline-Ms", std::to_string(plan.deadline->count()));
  }
  call.request.body() =
    patternBytes(record.id, 0, static_cast<std::size_t>(call.expected.bodyBytes));
  call.request.prepare_payload();
  return call;
}

void LoadDriver::issueCall(Stream& aStream)
{
  LoadCall call = makeCall(aStream);
  Entry& entry = chooseEntry();
  const auto connection = acquireConnection(entry);
  if (!connection) {
    call.record.entry = endpointText(entry.endpoint);
    call.record.doneUs = monotonicMicros();
    call.record.result = CallResult::Unsent;
    mSummary.add(call.record);
    mRecordWriter.write(call.record);
    return;
  }
  ++mOutstandingCalls;
  connection->send(std::move(call));
}

LoadDriver::Entry& LoadDriver::chooseEntry()
{
  const TimePoint now = Clock::now();
  std::vector<Entry*> usable;
  for (const auto& it : mEntries) {
    if (it->avoidUntil <= now) {
      usable.push_back(it.get());
    }
  }
  const std::size_t count = usable.empty() ? mEntries.size() : usable.size();
  const std::size_t n = std::uniform_int_distribution<std::size_t>(0, count - 1)(mRandom);
  return usable.empty() ? *mEntries[n] : *usable[n];
}

std::shared_ptr<LoadConnection> LoadDriver::acquireConnection(Entry& aEntry)
{
  while (!aEntry.idle.empty()) {
    auto connection = aEntry.idle.back();
    aEntry.idle.pop_back();
    if (connection->isReusable()) {
      return connection;
    }
    connection->close();
    aEntry.connections.erase(connection);
  }
  if (aEntry.connections.size() >= mPlan.maxConnections.value_or(kDefaultMaxConnections)) {
    return nullptr;
  }
  auto connection = std::make_shared<LoadConnection>(
    mLoop, aEntry.endpoint,
    [this, &aEntry](const std::shared_ptr<LoadConnection>& aConnection, const CallRecord& aRecord) {
      onCallDone(aEntry, aConnection, aRecord);
    },
    [&aEntry](const std::shared_ptr<LoadConnection>& aConnection) {
      aEntry.idle.erase(std::remove(aEntry.idle.begin(), aEntry.idle.end(), aConnection),
                        aEntry.idle.end());
      aEntry.connections.erase(aConnection);
    });
  aEntry.connections.insert(connection);
  return connection;
}

void LoadDriver::onCallDone(Entry& aEntry, const std::shared_ptr<LoadConnection>& aConnection,
                            const CallRecord& aRecord)
{
  --mOutstandingCalls;
  if (aRecord.result == CallResult::Unreachable) {
    aEntry.avoidUntil = Clock::now() + kAvoidTime;
  }
  mSummary.add(aRecord);
  mRecordWriter.write(aRecord);
  if (aConnection->isReusable()) {
    aEntry.idle.push_back(aConnection);
    aConnection->markIdle();
  } else {
    aConnection->close();
    aEntry.connections.erase(aConnection);
  }
  notifyIfFinished();
}

void LoadDriver::notifyIfFinished()
{
  if (mActiveStreams == 0 && mOutstandingCalls == 0 && mOnFinished) {
    std::exchange(mOnFinished, nullptr)();
  }
}

} // namespace camphorcleat::harness

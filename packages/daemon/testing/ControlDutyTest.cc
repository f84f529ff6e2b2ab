// Guards against a control member that answers nothing while it applies a long log. Its heartbeats
// are as late, so a leader that has just been elected loses its leadership again, and so does the
// next one, until all members have applied the log.

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <thread>

#include <ctime>

#include "agreement/FileLogStore.h"
#include "base/Hash.h"
#include "daemon/ControlDuty.h"
#include "wire/WireCodec.h"

namespace camphorcleat::daemon {
namespace {

constexpr std::uint64_t kConfigurations = 40;
constexpr int kRoutes = 1000;

/// Persists nothing.
class NullStore : public agreement::LogStore
{
public:
  Result<agreement::StoredState> open() override { return agreement::StoredState(); }
  Result<void> persist(const agreement::Persist& /*aBatch*/) override { return {}; }
};

/// Persists nothing and records up to which entry the latest snapshot goes.
class SnapshotRecorder : public NullStore
{
public:
  explicit SnapshotRecorder(std::atomic<LogIndex>& aLastIndex)
    : mLastIndex(aLastIndex)
  {
  }

  Result<void> persist(const agreement::Persist& aBatch) override
  {
    if (aBatch.snapshot) {
      mLastIndex = aBatch.snapshot->lastIndex;
    }
    return {};
  }

private:
  std::atomic<LogIndex>& mLastIndex;
};

class TemporaryFolder
{
public:
  TemporaryFolder()
    : mPath((std::filesystem::temp_directory_path() / "camphorcleat-control-XXXXXX").string())
  {
    REQUIRE(::mkdtemp(mPath.data()) != nullptr);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(mPath); }
  const std::string& path() const { return mPath; }

private:
  std::string mPath;
};

wire::Command configurationCommand(std::uint64_t aVersion, int aRoutes = kRoutes, int aAccounts = 0)
{
  wire::ReplaceConfiguration body;
  body.baseVersion = aVersion - 1;
  body.configuration.version = aVersion;
  body.configuration.digest = sha256Hex(std::to_string(aVersion));
  body.document = Bytes(std::to_string(aVersion));
  wire::Service service;
  service.name = "lookup";
  service.isRanged = true;
  body.configuration.services = { service };
  for (int i = 0; i < aRoutes; ++i) {
    wire::Route route;
    route.name = "r" + std::to_string(i);
    route.host = "h.example";
    route.pathPrefix = "/" + std::to_string(i) + "/" + std::to_string(aVersion) + "/";
    route.timeout = Millis(1000);
    route.objective = Millis(500);
    route.weightedServices = { { "lookup", 1 } };
    body.configuration.routes.push_back(route);
  }
  for (int i = 0; i < aAccounts; ++i) {
    wire::Account account;
    account.name = "account" + std::to_string(i);
    account.requestsPerSecond = 10;
    account.keyDigests["k"] = sha256Hex(account.name);
    body.configuration.accounts.push_back(account);
  }
  wire::Command out;
  out.commandId = "c" + std::to_string(aVersion);
  out.issuer = "ops";
  out.bodies.push_back(std::move(body));
  return out;
}

// A log that a restarted member has to apply once it knows that the entries are committed.
agreement::StoredState longLog()
{
  agreement::StoredState out;
  out.store = 5;
  out.term = 1;
  out.votedFor = 1;
  const auto append = [&](const wire::Command& aCommand) {
    wire::LogEntry entry;
    entry.index = out.entries.size() + 1;
    entry.term = 1;
    entry.kind = wire::EntryKind::Command;
    entry.payload = Bytes(wire::encodePayload(aCommand));
    out.entries.push_back(std::move(entry));
  };
  wire::Command create;
  create.issuer = wire::kSystemIssuer;
  create.bodies.emplace_back(wire::CreateFleet{ 16 });
  append(create);
  for (std::uint64_t i = 1; i <= kConfigurations; ++i) {
    append(configurationCommand(i));
  }
  return out;
}

Duration timeToApply(const agreement::StoredState& aStored)
{
  const TimePoint before = Clock::now();
  fleet::FleetState state;
  for (const auto& it : aStored.entries) {
    const auto command = wire::decodePayload(it.payload.data);
    REQUIRE(command);
    CHECK(state.apply(it.index, *command).result.code == ErrorCode::None);
  }
  return Clock::now() - before;
}

/// Writes the files of a control member as a day of many moves leaves them.
class DayWriter
{
public:
  explicit DayWriter(const std::string& aFolder)
    : mStore(aFolder + "/log", std::mt19937_64(1))
    , mTrail(fleet::AuditTrail::open(aFolder + "/audit.jsonl", kAuditBytes).value())
    , mStoreId(mStore.open().value().store)
  {
  }

  void write(std::uint64_t aEntries, std::uint64_t aEntriesPerConfiguration, int aRoutes,
             int aAccounts)
  {
    append(systemCommand(wire::CreateFleet{ kPartitions }));
    append(configurationCommand(++mVersion, aRoutes, aAccounts));
    registerNodes();
    while (mState.revision() < aEntries) {
      if (mState.revision() / aEntriesPerConfiguration >= mVersion) {
        append(configurationCommand(++mVersion, aRoutes, aAccounts));
      }
      movePartition();
    }
    flush();
  }

  std::uint64_t version() const { return mVersion; }

private:
  static constexpr NodeId kNodes = 78;
  static constexpr PartitionId kPartitions = 2048;
  static constexpr std::size_t kBatchEntries = 256;
  static constexpr std::size_t kAuditBytes = 64U << 20U;

  static wire::Command systemCommand(wire::CommandBody aBody)
  {
    wire::Command out;
    out.issuer = wire::kSystemIssuer;
    out.bodies.push_back(std::move(aBody));
    return out;
  }

  void registerNodes()
  {
    for (NodeId id = 1; id <= kNodes; ++id) {
      wire::Node node;
      node.id = id;
      node.incarnation = id;
      node.zone = "a";
      node.peerAddress = "127.0.0.1:1";
      node.target = wire::Announcement{ "lookup", 20, 2, Millis(100), true };
      append(systemCommand(wire::RegisterNode{ node }));
      wire::AssignPartitions assign{ "lookup", id, id, {} };
      for (auto it = static_cast<PartitionId>(id - 1); it < kPartitions; it += kNodes) {
        assign.partitions.push_back(it);
      }
      append(systemCommand(assign));
    }
  }

  void movePartition()
  {
    const PartitionId partition = mNextPartition++ % kPartitions;
    const wire::PartitionGrant grant = *mState.model().grant("lookup", partition);
    append(
      systemCommand(wire::BeginPartitionMove{ "lookup", grant.owner % kNodes + 1, { partition } }));
    append(systemCommand(wire::ReleasePartitions{
      "lookup", grant.owner, grant.incarnation, { { partition, grant.token, "" } } }));
  }

  void append(const wire::Command& aCommand)
  {
    wire::LogEntry entry;
    entry.index = mState.revision() + 1;
    entry.term = 1;
    entry.kind = wire::EntryKind::Command;
    entry.payload = Bytes(wire::encodePayload(aCommand));
    auto applied = mState.apply(entry.index, aCommand);
    REQUIRE(applied.result.code == ErrorCode::None);
    std::move(applied.audit.begin(), applied.audit.end(), std::back_inserter(mAudit));
    mEntries.push_back(std::move(entry));
    if (mEntries.size() >= kBatchEntries) {
      flush();
    }
  }

  void flush()
  {
    REQUIRE(mTrail.append(std::exchange(mAudit, {})));
    agreement::Persist batch;
    batch.term = 1;
    batch.votedFor = 1;
    batch.entries = std::exchange(mEntries, {});
    if (mState.revision() - mSnapshotAt >= agreement::LogNodeConfig().snapshotEntries) {
      mSnapshotAt = mState.revision();
      batch.snapshot = std::make_shared<agreement::Snapshot>(
        agreement::Snapshot{ mSnapshotAt, 1, { { { 1, mStoreId } } }, mState.encodeSnapshot() });
    }
    REQUIRE(mStore.persist(batch));
  }

  agreement::FileLogStore mStore;
  fleet::AuditTrail mTrail;
  wire::StoreId mStoreId;
  fleet::FleetState mState;
  std::vector<wire::LogEntry> mEntries;
  std::vector<fleet::AuditRecord> mAudit;
  LogIndex mSnapshotAt = 0;
  std::uint64_t mVersion = 0;
  PartitionId mNextPartition = 0;
};

Duration processorTime()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

/// Processor time of a restarted member until it answers a read.
struct StartTimes
{
  Duration store{ 0 };
  Duration audit{ 0 };
  Duration control{ 0 };
  std::string document;
};

std::string readDocument(Ring<ControlMessage>& aRing)
{
  const TimePoint end = Clock::now() + std::chrono::seconds(60);
  for (;;) {
    const auto promise = std::make_shared<std::promise<DocumentResponse>>();
    REQUIRE(aRing.tryPush(DocumentRequest{
      end, [promise](const DocumentResponse& aResponse) { promise->set_value(aResponse); } }));
    auto result = promise->get_future();
    REQUIRE(result.wait_until(end) == std::future_status::ready);
    const DocumentResponse response = result.get();
    if (response.code == ErrorCode::None) {
      return response.document;
    }
    std::this_thread::sleep_for(Millis(5));
  }
}

Settings settingsOf(const std::string& aFolder)
{
  Settings out;
  out.id = 1;
  out.members[1] = "127.0.0.1:1";
  out.dataFolder = aFolder;
  out.partitionCount = 16;
  out.electionMin = Millis(100);
  out.electionMax = Millis(200);
  out.logHeartbeat = Millis(20);
  return out;
}

StartTimes restart(const std::string& aFolder)
{
  StartTimes out;
  const Settings settings = settingsOf(aFolder);
  const Duration begin = processorTime();
  auto store = std::make_unique<agreement::FileLogStore>(aFolder + "/log", std::mt19937_64(2));
  auto stored = store->open();
  REQUIRE(stored);
  const Duration storeDone = processorTime();
  auto audit = fleet::AuditTrail::open(aFolder + "/audit.jsonl", 64U << 20U);
  REQUIRE(audit);
  const Duration auditDone = processorTime();
  Rings rings;
  rings.control = std::make_unique<Ring<ControlMessage>>(kControlRingSize);
  PeerRouter router(settings.id, rings);
  StorageDuty storage(std::move(store), *rings.control);
  ControlDuty control(settings, rings, router, storage, *stored, std::move(*audit));
  storage.start();
  control.start();
  out.document = readDocument(*rings.control);
  out.control = processorTime() - auditDone;
  out.audit = auditDone - storeDone;
  out.store = storeDone - begin;
  control.stop();
  storage.stop();
  return out;
}

/// A control group of one member with an empty log.
struct SoleMember
{
  TemporaryFolder folder;
  Settings settings = settingsOf(folder.path());
  Rings rings;
  PeerRouter router{ settings.id, rings };
  std::unique_ptr<StorageDuty> storage;
  std::unique_ptr<ControlDuty> control;

  SoleMember()
  {
    auto store =
      std::make_unique<agreement::FileLogStore>(folder.path() + "/log", std::mt19937_64(2));
    auto stored = store->open();
    REQUIRE(stored);
    auto audit = fleet::AuditTrail::open(folder.path() + "/audit.jsonl", 64U << 20U);
    REQUIRE(audit);
    rings.control = std::make_unique<Ring<ControlMessage>>(kControlRingSize);
    storage = std::make_unique<StorageDuty>(std::move(store), *rings.control);
    control =
      std::make_unique<ControlDuty>(settings, rings, router, *storage, *stored, std::move(*audit));
    storage->start();
    control->start();
    readDocument(*rings.control); // Waits until it leads.
  }
  ~SoleMember()
  {
    control->stop();
    storage->stop();
  }

  std::future<wire::CommandResult> order(const std::string& aId, bool aIsOut,
                                         std::function<bool()> aIsAwaited, Millis aTime)
  {
    const auto promise = std::make_shared<std::promise<wire::CommandResult>>();
    CommandRequest request;
    request.command.commandId = aId;
    request.command.issuer = "ops";
    request.command.bodies.emplace_back(wire::SetZone{ "z", aIsOut, true });
    request.deadline = Clock::now() + aTime;
    request.isAwaited = std::move(aIsAwaited);
    request.reply = [promise](const wire::CommandResult& aResult) { promise->set_value(aResult); };
    const bool isQueued = rings.control->tryPush(std::move(request));
    REQUIRE(isQueued);
    return promise->get_future();
  }
};

wire::CommandResult resultOf(std::future<wire::CommandResult>&& aResult)
{
  REQUIRE(aResult.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
  return aResult.get();
}

// Sends as many requests as a large fleet does within a moment, and returns the answer to the last.
ControlStatus statusOf(Ring<ControlMessage>& aRing)
{
  constexpr int kOtherRequests = 100;
  for (int i = 0; i < kOtherRequests; ++i) {
    REQUIRE(aRing.tryPush(StatusRequest{ [](const ControlStatus&) {} }));
  }
  const auto status = std::make_shared<std::promise<ControlStatus>>();
  REQUIRE(aRing.tryPush(
    StatusRequest{ [status](const ControlStatus& aStatus) { status->set_value(aStatus); } }));
  auto result = status->get_future();
  REQUIRE(result.wait_for(std::chrono::seconds(30)) == std::future_status::ready);
  return result.get();
}

} // namespace

TEST_CASE("a control member answers while it applies a long log")
{
  const TemporaryFolder folder;
  const agreement::StoredState stored = longLog();
  const Duration applyTime = timeToApply(stored);
  const Settings settings = settingsOf(folder.path());
  Rings rings;
  rings.control = std::make_unique<Ring<ControlMessage>>(kControlRingSize);
  PeerRouter router(settings.id, rings);
  StorageDuty storage(std::make_unique<NullStore>(), *rings.control);
  auto audit = fleet::AuditTrail::open(folder.path() + "/audit.jsonl", 1U << 20U);
  REQUIRE(audit);
  ControlDuty control(settings, rings, router, storage, stored, std::move(*audit));
  storage.start();
  control.start();
  Duration longest{ 0 };
  ControlStatus status;
  const TimePoint end = Clock::now() + std::chrono::seconds(60);
  do {
    const TimePoint before = Clock::now();
    status = statusOf(*rings.control);
    longest = std::max<Duration>(longest, Clock::now() - before);
    std::this_thread::sleep_for(Millis(1));
  } while (status.appliedIndex <= stored.entries.size() && Clock::now() < end);
  control.stop();
  storage.stop();
  CHECK(status.appliedIndex > stored.entries.size());
  CHECK(status.role == "leader");
  INFO("applied alone in " << toMillis(applyTime) << " ms, longest answer " << toMillis(longest)
                           << " ms");
  CHECK(longest < applyTime / 4);
}

// Guards against a restart that applies every configuration of a day again (CONFIG), because few
// entries were written, although each of them was a lot of work.
// Guards against an order that is carried out after its operator gave up and sent a later one
// (EVAC).
TEST_CASE("an order that its operator no longer awaits is not carried out")
{
  SoleMember member;
  const auto always = [] { return true; };
  const auto never = [] { return false; };
  const wire::CommandResult first = resultOf(member.order("a", true, always, Millis(5000)));
  REQUIRE(first.code == ErrorCode::None);
  CHECK(resultOf(member.order("b", false, never, Millis(5000))).code ==
        ErrorCode::DeadlineExceeded);
  CHECK(resultOf(member.order("c", false, always, Millis(0))).code == ErrorCode::DeadlineExceeded);
  const wire::CommandResult last = resultOf(member.order("d", true, always, Millis(5000)));
  REQUIRE(last.code == ErrorCode::None);
  CHECK(last.revision == first.revision + 1); // Neither order was added to the log.
}

// Guards against an order that is refused because another one was carried out while it waited.
TEST_CASE("orders that are sent at the same time are all carried out")
{
  constexpr int kOrders = 8;
  SoleMember member;
  std::array<std::future<wire::CommandResult>, kOrders> results;
  for (int i = 0; i < kOrders; ++i) {
    const std::string id = "order-" + std::to_string(i);
    results.at(i) = member.order(
      id, i % 2 == 0, [] { return true; }, Millis(5000));
  }
  for (auto& it : results) {
    const wire::CommandResult result = resultOf(std::move(it));
    CHECK(result.code == ErrorCode::None);
  }
}

TEST_CASE("a control member takes a snapshot after a series of large configurations")
{
  const TemporaryFolder folder;
  const agreement::StoredState stored = longLog();
  const Settings settings = settingsOf(folder.path());
  Rings rings;
  rings.control = std::make_unique<Ring<ControlMessage>>(kControlRingSize);
  PeerRouter router(settings.id, rings);
  std::atomic<LogIndex> snapshotAt{ 0 };
  StorageDuty storage(std::make_unique<SnapshotRecorder>(snapshotAt), *rings.control);
  auto audit = fleet::AuditTrail::open(folder.path() + "/audit.jsonl", 1U << 20U);
  REQUIRE(audit);
  ControlDuty control(settings, rings, router, storage, stored, std::move(*audit));
  storage.start();
  control.start();
  const TimePoint end = Clock::now() + std::chrono::seconds(30);
  while (snapshotAt < stored.entries.size() && Clock::now() < end) {
    std::this_thread::sleep_for(Millis(5));
  }
  control.stop();
  storage.stop();
  CHECK(snapshotAt >= stored.entries.size());
}

void checkRestart(std::uint64_t aEntries, std::uint64_t aEntriesPerConfiguration, int aRoutes,
                  int aAccounts)
{
  // A group answers within contact_s. The smallest control members have 0.3 of a core.
  constexpr Millis kContact{ 3000 };
  constexpr double kCoreShare = 0.3;
  const TemporaryFolder folder;
  std::uint64_t version = 0;
  {
    DayWriter day(folder.path());
    day.write(aEntries, aEntriesPerConfiguration, aRoutes, aAccounts);
    version = day.version();
  }
  const StartTimes times = restart(folder.path());
  CHECK(times.document == std::to_string(version));
  INFO("processor time: log " << toMillis(times.store) << " ms, audit trail "
                              << toMillis(times.audit) << " ms, until the read "
                              << toMillis(times.control) << " ms");
  CHECK(times.store + times.audit + times.control < kCoreShare * kContact);
}

// Guards against a control group that can't say which configuration is in force for seconds after
// all of its members restarted (CONFIG), because a start costs more the longer the day was.
TEST_CASE("a control member answers a read in time after a restart late in the day")
{
  checkRestart(36'720, 1360, 10, 83);
}

// Guards against the same after a series of configurations: each of them is applied in full,
// although the next one replaces it.
TEST_CASE("a control member answers a read in time after a restart in a series of configurations")
{
  checkRestart(4080, 112, 1400, 0);
}

// Guards against the same after a day of many small configurations and few moves, in which no
// snapshot is due.
TEST_CASE("a control member answers a read in time after a restart on a day without a snapshot")
{
  checkRestart(4080, 9, 10, 83);
}

} // namespace camphorcleat::daemon

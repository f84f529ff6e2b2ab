// Guards against a control member that answers nothing while it applies a long log. Its heartbeats
// are as late, so a leader that has just been elected loses its leadership again, and so does the
// next one, until all members have applied the log.

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <future>
#include <thread>

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

wire::Command configurationCommand(std::uint64_t aVersion)
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
  for (int i = 0; i < kRoutes; ++i) {
    wire::Route route;
    route.name = "r" + std::to_string(i);
    route.host = "h.example";
    route.pathPrefix = "/" + std::to_string(i) + "/" + std::to_string(aVersion) + "/";
    route.timeout = Millis(1000);
    route.objective = Millis(500);
    route.weightedServices = { { "lookup", 1 } };
    body.configuration.routes.push_back(route);
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

} // namespace camphorcleat::daemon
